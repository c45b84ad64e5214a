/** Small HTTP servers and calls on loopback. */
import { createServer, request } from "node:http";
import { createServer as createTcpServer } from "node:net";

export const HOST = "127.0.0.1";

/** Ports in a range; all are below those that the system takes for outgoing connections. */
const PORTS_IN_A_RANGE = 20;
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;

/** First ports of the ranges that were given to somebody. */
const taken = new Set();

function listen(port) {
    return new Promise((resolve, reject) => {
        const server = createTcpServer();
        server.once("error", reject);
        server.listen(port, HOST, () => resolve(server));
    });
}

function closeServer(server) {
    return new Promise(resolve => server.close(resolve));
}

/** Finds a range of free ports, for one entry or one machine. */
export async function findFreePorts() {
    const blocks = (LAST_PORT - FIRST_PORT) / PORTS_IN_A_RANGE;
    const begin = Math.floor(Math.random() * blocks);
    for (let index = 0; index < blocks; index++) {
        const first = FIRST_PORT + (begin + index) % blocks * PORTS_IN_A_RANGE;
        const ports = Array.from({ length: PORTS_IN_A_RANGE }, (_, offset) => first + offset);
        if (!taken.has(first) && await areFree(ports)) {
            taken.add(first);
            return ports;
        }
    }
    throw new Error("no free range of ports");
}

async function areFree(ports) {
    try {
        for (const port of ports) {
            await closeServer(await listen(port));
        }
        return true;
    }
    catch {
        return false;
    }
}

/**
 * Starts a server of JSON bodies.
 * @param handle - Gets method, path, query, headers and body; returns `{ status, body }`, or undefined for no answer at
 * all.
 * @param port - 0 for any.
 */
export async function startJsonServer(handle, port = 0) {
    const server = createServer((incoming, response) => {
        const chunks = [];
        incoming.on("data", chunk => chunks.push(chunk));
        incoming.on("error", () => undefined);
        incoming.on("end", () => {
            const url = new URL(incoming.url ?? "/", `http://${HOST}`);
            const text = Buffer.concat(chunks).toString("utf8");
            const call = {
                method: incoming.method,
                path: url.pathname,
                query: url.searchParams,
                headers: incoming.headers,
                body: text === "" ? {} : JSON.parse(text),
            };
            Promise.resolve(handle(call)).then(answer => {
                if (answer === undefined || response.destroyed) {
                    return;
                }
                const bytes = Buffer.from(JSON.stringify(answer.body ?? {}));
                response.writeHead(answer.status, {
                    "content-type": "application/json",
                    "content-length": bytes.length,
                });
                response.end(bytes);
            }, error => {
                process.stderr.write(`${error.stack}\n`);
                response.destroy();
            });
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, HOST, resolve);
    });
    return {
        port: server.address().port,
        address: `${HOST}:${server.address().port}`,
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Makes a call; resolves to `{ status, body }`, or `{ status: undefined, message }` if no whole answer arrived. */
export function callHttp({ port, method, path, headers = {}, body, timeoutMs }) {
    return new Promise(resolve => {
        const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
        const outgoing = request({
            host: HOST,
            port,
            method,
            path,
            headers: {
                ...headers,
                ...bytes && { "content-type": "application/json", "content-length": bytes.length },
            },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => resolve({ status: undefined, message: error.message }));
            response.on("end", () => {
                const text = Buffer.concat(chunks).toString("utf8");
                let parsed;
                try {
                    parsed = text === "" ? {} : JSON.parse(text);
                }
                catch {
                    parsed = undefined;
                }
                resolve({ status: response.statusCode, body: parsed });
            });
        });
        outgoing.setTimeout(timeoutMs, () => outgoing.destroy(new Error("no answer in time")));
        outgoing.on("error", error => resolve({ status: undefined, message: error.message }));
        outgoing.end(bytes);
    });
}
