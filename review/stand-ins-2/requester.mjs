// Stand-in for a requester: one request on a channel of its own, or on a kept one of an agent.
import http from "node:http";

/** Resolves with status (0 without an answer), body, and times in milliseconds. Does not reject. */
export function send({ address, agent = false, method = "POST", path, host, headers = {}, body = "", limitMs = 10_000 }) {
    const [ip, port] = address.split(":");
    const sentAt = performance.now();
    return new Promise(resolve => {
        const result = { sentAt, status: 0, body: "", headers: {}, reason: "" };
        const finish = reason => {
            clearTimeout(timer);
            resolve({ ...result, reason, tookMs: performance.now() - sentAt });
        };
        const request = http.request({ host: ip, port, method, path, agent, headers: { Host: host, "Content-Length": Buffer.byteLength(body), ...headers } });
        const timer = setTimeout(() => {
            request.destroy();
            finish("no answer in time");
        }, limitMs);
        request.on("error", error => finish(error.code ?? error.message));
        request.on("response", response => {
            result.status = response.statusCode;
            result.headers = response.headers;
            response.setEncoding("latin1");
            response.on("data", text => {
                result.body += text;
            });
            response.on("error", error => finish(error.code ?? error.message));
            response.on("end", () => finish(response.complete ? "complete" : "incomplete"));
        });
        request.end(body);
    });
}

/** Whether an entry counts as ready at its address for that. */
export async function isReady(address) {
    const { status } = await send({ address, method: "GET", path: "/-/ready", host: address, limitMs: 1000 });
    return status === 200;
}
