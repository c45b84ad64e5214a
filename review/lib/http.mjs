/** Small HTTP servers and calls on loopback. */
import { createServer, request } from "node:http";
import { createServer as createTcpServer } from "node:net";

export const HOST = "127.0.0.1";

/** Internal ports that the settings name: from the first to the second, both included. */
const INTERNAL_PORTS = 16;

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

/** Finds free ports that nobody has been given yet. */
export async function findFreePorts(count) {
    const servers = [];
    for (let index = 0; index < count; index++) {
        servers.push(await listen(0));
    }
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(closeServer));
    return ports;
}

/** Finds a range of free ports for the messages between nodes. */
export async function findFreeRange(taken) {
    for (let first = 20_000 + Math.floor(Math.random() * 500) * 20; first < 32_000; first += 20) {
        if (taken.has(first)) {
            continue;
        }
        try {
            for (let port = first; port < first + INTERNAL_PORTS; port++) {
                await closeServer(await listen(port));
            }
            taken.add(first);
            return [first, first + INTERNAL_PORTS - 1];
        }
        catch {
            // A port of the range is in use: the next range is tried.
        }
    }
    throw new Error("no free range of ports");
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
