/** Stand-in for a requester: sends a request on a new channel and tells what came back. */
import * as crypto from "node:crypto";
import * as http from "node:http";

export function newId() {
    return crypto.randomBytes(8).toString("hex");
}

/**
 * Sends a request. Resolves with the status (0 without an answer), the headers, the body, and whether the answer is
 * complete.
 */
export function send(machine, { method = "POST", path, host, headers = {}, body = "", id = newId(), deadlineMs = 5000 }) {
    const sentAt = performance.now();
    const [address, port] = machine.frontAddress.split(":");
    return new Promise(resolve => {
        const finish = answer => {
            clearTimeout(timer);
            resolve({ id, sentAt, endedAt: performance.now(), status: 0, headers: {}, body: "", ...answer });
        };
        const request = http.request({
            host: address,
            port,
            method,
            path,
            agent: false,
            headers: {
                Host: host,
                "Request-Id": id,
                "Deadline-Ms": String(deadlineMs),
                ...method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) },
                ...headers,
            },
        });
        const timer = setTimeout(() => {
            request.destroy();
            finish({ isComplete: false, reason: "given up" });
        }, deadlineMs + 500);
        request.on("error", error => finish({ isComplete: false, reason: error.code ?? error.message }));
        request.on("response", response => {
            const chunks = [];
            const answer = { status: response.statusCode, headers: response.headers };
            const end = (isComplete, reason) => {
                finish({ ...answer, body: Buffer.concat(chunks).toString(), isComplete, reason });
            };
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => end(response.complete, ""));
            response.on("error", error => end(false, error.code ?? error.message));
        });
        request.end(body);
    });
}
