/** HTTP server that all stand-ins are built on. */
import createRouter from "find-my-way";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";

/** A stand-in that serves on loopback. */
export interface RunningStandIn {
    /** `http://127.0.0.1:port`. */
    readonly url: string;
    /** Stops at once and closes all connections. */
    close(): Promise<void>;
}

/** A request as the handlers of stand-ins see it. */
export interface StandInRequest {
    readonly params: Readonly<Record<string, string | undefined>>;
    readonly query: URLSearchParams;
    readonly headers: IncomingMessage["headers"];
    readonly body: Buffer;
}

/** The response of a handler. */
export interface StandInReply {
    readonly status: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body: Uint8Array | string;
}

/** A route of a stand-in. */
export interface StandInRoute {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly path: string;
    /** Returns the response, or undefined to close the connection without one. */
    readonly handle: (
        request: StandInRequest,
    ) => Promise<StandInReply | undefined> | StandInReply | undefined;
}

/** Address of a stand-in. */
export interface StandInAddress {
    /** A loopback address; defaults to 127.0.0.1. */
    readonly host?: string;
    /** Chosen by the operating system if omitted. */
    readonly port?: number;
}

const STATUS_NOT_FOUND = 404;
const STATUS_FAILED = 500;

/**
 * Starts a server; requests to other routes get 404, errors thrown by a handler 500.
 */
export async function startHttpStandIn(
    routes: readonly StandInRoute[],
    address: StandInAddress = {},
): Promise<RunningStandIn> {
    const router = createRouter({ defaultRoute: (...[, response]) => sendReply(response, NOT_FOUND) });
    for (const route of routes) {
        router.on(route.method, route.path, (request, response, params) => {
            void handleRequest(route, request, response, params);
        });
    }
    const server = createServer((request, response) => {
        router.lookup(request, response);
    });
    const host = address.host ?? "127.0.0.1";
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port ?? 0, host, resolve);
    });
    const bound = server.address();
    const port = typeof bound === "object" ? bound?.port : undefined;
    return {
        url: `http://${host}:${port ?? 0}`,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

/**
 * Builds a response with a JSON body.
 * @param body - Value to encode.
 */
export function buildJsonReply(status: number, body: unknown): StandInReply {
    return { status, headers: { "content-type": "application/json" }, body: JSON.stringify(body) };
}

/**
 * Parses a JSON body.
 * @returns Undefined if the body is malformed.
 */
export function parseJsonBody(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return undefined;
    }
}

async function handleRequest(
    route: StandInRoute,
    request: IncomingMessage,
    response: ServerResponse,
    params: Record<string, string | undefined>,
): Promise<void> {
    try {
        const body = await readBody(request);
        const { searchParams } = new URL(request.url ?? "/", "http://stand-in");
        const reply = await route.handle({ params, query: searchParams, headers: request.headers, body });
        if (reply === undefined) {
            response.destroy();
            return;
        }
        sendReply(response, reply);
    }
    catch (error) {
        sendReply(response, { status: STATUS_FAILED, body: String(error) });
    }
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}

function sendReply(response: ServerResponse, reply: StandInReply): void {
    if (response.destroyed) {
        return;
    }
    response.writeHead(reply.status, { ...reply.headers, "content-length": Buffer.byteLength(reply.body) });
    response.end(reply.body);
}

const NOT_FOUND: StandInReply = { status: STATUS_NOT_FOUND, body: "no such route" };
