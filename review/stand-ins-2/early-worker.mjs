// Stand-in for workers of a plain service, as a process of its own. With `readsOnAfterMs` it answers requests with a long body
// before it has read the body, keeps the channel, and reads on after that time; without, it reads each body first.
// Argument: JSON. It writes a line of JSON for each run and for each body that it has read to its end.
import net from "node:net";

const { workers, workMs, longBytes, readsOnAfterMs } = JSON.parse(process.argv[2]);
const say = value => process.stdout.write(`${JSON.stringify(value)}\n`);

function serve(socket, id) {
    let head = "";
    let missing = 0;
    let onBody;
    const onHead = text => {
        head += text;
        const end = head.indexOf("\r\n\r\n");
        if (end < 0) {
            return;
        }
        const rest = head.length - end - 4;
        const fields = head.slice(0, end);
        head = "";
        const field = name => new RegExp(`^${name}: *(.*)$`, "im").exec(fields)?.[1]?.trim();
        const requestId = field("request-id") ?? "";
        const length = Number(field("content-length") ?? 0);
        const expected = field("expect-instance");
        missing = length - rest;
        if (expected !== undefined && expected !== id) {
            socket.end(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
            return;
        }
        const answer = () => {
            if (!socket.destroyed) {
                const body = requestId.padEnd(800, ".");
                socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Seal: ${id}.${requestId}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
            }
        };
        say({ event: "run", requestId, id, bytes: length });
        if (length >= longBytes && readsOnAfterMs !== undefined) {
            onBody = () => say({ event: "read", requestId });
            socket.pause();
            setTimeout(answer, workMs);
            setTimeout(() => socket.resume(), readsOnAfterMs);
            return;
        }
        onBody = () => setTimeout(answer, workMs);
        if (missing <= 0) {
            onBody();
        }
    };
    socket.on("error", () => undefined);
    socket.on("data", bytes => {
        if (missing > 0) {
            missing -= bytes.length;
            if (missing <= 0) {
                onBody();
            }
            return;
        }
        onHead(bytes.toString("latin1"));
    });
}

for (const { id, address } of workers) {
    const [host, port] = address.split(":");
    net.createServer(socket => serve(socket, id)).listen(Number(port), host);
}
say({ event: "listening" });
