/** Small HTTP helpers of the stand-ins. */
import { request } from "node:http";

export async function readBody(message) {
    const chunks = [];
    for await (const chunk of message) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

export function sendJson(response, status, body) {
    if (!response.destroyed) {
        const text = JSON.stringify(body);
        response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
        response.end(text);
    }
}

/**
 * Sends a client's request.
 * @returns Status and body; status 0 if there was no complete answer in time.
 */
export function callHttp({ address, method, path, headers = {}, body, timeoutMs = 3_000, agent }) {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const finish = result => {
            clearTimeout(timer);
            resolve(result);
        };
        const call = request({ host, port, method, path, headers, agent }, async answer => {
            try {
                const text = await readBody(answer);
                finish({ status: answer.complete ? answer.statusCode : 0, text });
            }
            catch (error) {
                finish({ status: 0, text: String(error) });
            }
        });
        const timer = setTimeout(() => {
            call.destroy(new Error("timeout"));
        }, timeoutMs);
        call.on("error", error => finish({ status: 0, text: error.message }));
        call.end(body);
    });
}

export function sleep(ms) {
    return new Promise(resolve => {
        setTimeout(resolve, ms);
    });
}
