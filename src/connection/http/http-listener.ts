/** A port that serves HTTP/1.1 within the limits on what clients may hold. */
import { createServer as createHttpServer } from "node:http";
import type { IncomingMessage, Server as HttpParser, ServerResponse } from "node:http";
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { Millis, Timer } from "../../common/clock.js";
import { openPort } from "../open-port.js";
import type { ArrivalTimeouts } from "./arrival-timeouts.js";
import type { ClientConnections } from "./client-connections.js";
import type { ConnectionGroup } from "./connection-table.js";
import { REQUEST_TIMEOUT_CODE, writeParseErrorReply } from "./http-answers.js";
import { HttpConnection } from "./http-connection.js";
import type { HttpLimits } from "./http-limits.js";

/** Limits of the connections of one port. */
export type ListenerLimits = Pick<HttpLimits, "maxHeaderBytes" | "keepAliveMs" | "writeTimeoutMs">;

/** Options of {@link HttpListener}. */
export interface HttpListenerOptions {
    readonly clients: ClientConnections;
    readonly group: ConnectionGroup;
    readonly limits: ListenerLimits;
    /**
     * Handles a request.
     * @param needsContinue - Whether the client waits for `100 Continue` before it sends the body.
     */
    readonly handleRequest: (
        request: IncomingMessage,
        response: ServerResponse,
        needsContinue: boolean,
    ) => void;
    /** Called with each request that the parser could not read or that did not arrive in time. */
    readonly handleMalformed?: (code: string) => void;
}

const EXPECTATION_FAILED = 417;
/** Time that a client has to read the reply to a malformed request. */
const LINGER_MS: Millis = 1_000;

/** Returns the connection of a request that an {@link HttpListener} received. */
export function getConnection(request: IncomingMessage): HttpConnection {
    return request.socket as unknown as HttpConnection;
}

/** Listens on one port. */
export class HttpListener {
    /** The port that it listens on. */
    port = 0;

    private readonly listener: Server;
    /** It never listens: connections are handed to it. */
    private readonly parser: HttpParser;
    private readonly connections = new Set<HttpConnection>();
    private timeouts: ArrivalTimeouts | undefined;
    private readonly lingers = new Set<Timer>();

    constructor(private readonly options: HttpListenerOptions) {
        // As HTTP requires: a client may end its side before it has read the response.
        this.listener = createServer({ allowHalfOpen: true }, socket => this.acceptSocket(socket));
        this.parser = this.buildParser();
    }

    /** Starts to listen; rejects if the port cannot be opened. */
    async open(host: string, port: number): Promise<void> {
        this.port = await openPort(this.listener, host, port);
        this.timeouts = this.options.clients.startTimeouts();
    }

    /** Accepts no new connections, and closes those without a request. */
    stopAccepting(): void {
        this.listener.close();
        for (const connection of this.connections) {
            if (connection.isIdle()) {
                connection.destroy();
            }
        }
    }

    /** Closes the port and all connections. */
    close(): void {
        this.listener.close();
        this.lingers.forEach(timer => timer.cancel());
        this.connections.forEach(connection => connection.destroy());
    }

    private buildParser(): HttpParser {
        const { limits } = this.options;
        const parser = createHttpServer(
            {
                maxHeaderSize: limits.maxHeaderBytes,
                // `ArrivalTimeouts` applies both limits.
                headersTimeout: 0,
                requestTimeout: 0,
                keepAliveTimeout: limits.keepAliveMs,
            },
            (request, response) => this.acceptRequest(request, response, false),
        );
        parser.on("checkContinue", (request, response) => this.acceptRequest(request, response, true));
        parser.on("checkExpectation", (request, response) => {
            this.startExchange(request, response);
            response.writeHead(EXPECTATION_FAILED).end();
        });
        parser.on(
            "clientError",
            (error: NodeJS.ErrnoException, socket) => this.refuseMalformed(error, socket as HttpConnection),
        );
        // Without this listener Node closes idle connections before it reads what has arrived on them.
        parser.on("timeout", socket => this.closeIdle(socket as unknown as HttpConnection));
        return parser;
    }

    private acceptSocket(socket: Socket): void {
        const { clients, group, limits } = this.options;
        const record = clients.table.add(group, () => connection.shed());
        if (record === undefined) {
            socket.destroy();
            return;
        }
        const { table, turns, clock } = clients;
        const { writeTimeoutMs } = limits;
        const connection = new HttpConnection({ socket, table, record, turns, clock, writeTimeoutMs });
        this.connections.add(connection);
        connection.once("close", () => this.connections.delete(connection));
        this.timeouts?.addConnection(
            connection,
            () => this.refuseUnread(connection, REQUEST_TIMEOUT_CODE),
        );
        this.parser.emit("connection", connection);
    }

    private acceptRequest(request: IncomingMessage, response: ServerResponse, needsContinue: boolean): void {
        this.startExchange(request, response);
        this.options.handleRequest(request, response, needsContinue);
    }

    private startExchange(request: IncomingMessage, response: ServerResponse): void {
        const connection = getConnection(request);
        connection.startExchange(request, response);
        this.timeouts?.observeHeaders(request, connection);
    }

    private closeIdle(connection: HttpConnection): void {
        const { bytesRead } = connection;
        this.options.clients.clock.schedule(0, () => {
            if (connection.bytesRead === bytesRead) {
                connection.destroy();
            }
        });
    }

    private refuseMalformed(error: NodeJS.ErrnoException, connection: HttpConnection): void {
        if (error.code === "ECONNRESET") {
            connection.destroy();
            return;
        }
        this.refuseUnread(connection, error.code);
    }

    /** Refuses a request that was not received completely, and ends its connection. */
    private refuseUnread(connection: HttpConnection, code: string | undefined): void {
        if (!connection.writable) {
            connection.destroy();
            return;
        }
        this.options.handleMalformed?.(code ?? "malformed");
        writeParseErrorReply(connection, code);
        // A client that neither reads nor closes must not keep the connection open.
        const timer = this.options.clients.clock.schedule(LINGER_MS, () => {
            this.lingers.delete(timer);
            connection.destroy();
        });
        this.lingers.add(timer);
    }
}
