/** Stand-in for requesters: sends one request on a channel of its own and tells how it ended. */
import * as http from "node:http";

let count = 0;

export function requestId() {
    return (++count).toString(16).padStart(8, "0") + Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, "0");
}

/** Resolves with the status, or with `closed` if the channel ended without a complete answer. */
export function send({ host, port }, { method, path, hostname, key, deadlineMs, leaveAfterMs, agent = false, extraHeaders }) {
    const id = requestId();
    const sent = { id, path, key, method, sentAt: performance.now(), to: host };
    return new Promise(resolve => {
        const finish = end => resolve({ ...sent, ...end, endedAt: performance.now() });
        const headers = { "Host": hostname, "Request-Id": id, "Deadline-Ms": String(deadlineMs), ...extraHeaders };
        if (key !== undefined) {
            headers.Authorization = `Bearer ${key}`;
        }
        const request = http.request({ host, port, method, path, headers, agent });
        const timer = setTimeout(() => {
            finish({ outcome: "left" });
            request.destroy();
        }, leaveAfterMs ?? deadlineMs);
        request.on("response", response => {
            let bytes = 0;
            response.on("data", chunk => void (bytes += chunk.length));
            response.on("error", () => undefined);
            response.on("close", () => {
                clearTimeout(timer);
                finish({ outcome: response.complete ? String(response.statusCode) : "broken off", bytes });
            });
        });
        request.on("error", error => {
            clearTimeout(timer);
            finish({ outcome: "closed", reason: error.code });
        });
        request.end(method === "POST" ? "x".repeat(600) : undefined);
    });
}
