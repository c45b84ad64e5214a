/** How nodes reach each other: byte streams between addresses, over TCP in the running system. */
import { connect, createServer } from "node:net";
import type { Clock, Millis } from "../common/clock.js";
import { openPort } from "./open-port.js";

/** One end of a byte stream; `net.Socket` is one. */
export interface LinkSocket {
    /** Bytes that wait to be sent. */
    readonly writableLength: number;
    on(event: "data", listener: (chunk: Buffer) => void): unknown;
    on(event: "error", listener: (error: Error) => void): unknown;
    on(event: "close", listener: () => void): unknown;
    setNoDelay(isEnabled: boolean): unknown;
    write(bytes: Buffer): unknown;
    destroy(): unknown;
}

/** How an attempt to connect ended. */
export type ConnectResult =
    | { readonly kind: "up"; readonly socket: LinkSocket; }
    /** Nothing listens there. */
    | { readonly kind: "refused"; }
    | { readonly kind: "silent"; };

/** A port that takes connections. */
export interface LinkListener {
    readonly port: number;
    close(): void;
}

/** Connections between nodes. */
export interface LinkNetwork {
    /**
     * Starts to listen; rejects if the port cannot be had.
     * @param port - 0 for any that is free.
     * @param handleSocket - Told of each connection.
     * @param handleError - Told of errors of the listener itself, which goes on.
     */
    listen(
        host: string,
        port: number,
        handleSocket: (socket: LinkSocket) => void,
        handleError: (error: Error) => void,
    ): Promise<LinkListener>;
    /**
     * Connects.
     * @param address - `host:port`.
     * @param timeout - After which the attempt ends as silent.
     */
    connect(address: string, timeout: Millis): Promise<ConnectResult>;
}

/**
 * Makes the network of the running system.
 * @param clock - For timeouts.
 */
export function createTcpNetwork(clock: Clock): LinkNetwork {
    return {
        listen: listenTcp,
        connect: (address, timeout) => connectTcp(clock, address, timeout),
    };
}

const listenTcp: LinkNetwork["listen"] = async (host, port, handleSocket, handleError) => {
    const server = createServer(handleSocket);
    const listeningPort = await openPort(server, host, port);
    server.on("error", handleError);
    return { port: listeningPort, close: () => server.close() };
};

function connectTcp(clock: Clock, address: string, timeout: Millis): Promise<ConnectResult> {
    const separator = address.lastIndexOf(":");
    const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) });
    return new Promise(resolve => {
        const timer = clock.schedule(timeout, () => {
            socket.destroy();
            resolve({ kind: "silent" });
        });
        socket.once("error", (error: NodeJS.ErrnoException) => {
            timer.cancel();
            resolve({ kind: error.code === "ECONNREFUSED" ? "refused" : "silent" });
        });
        socket.once("connect", () => {
            timer.cancel();
            resolve({ kind: "up", socket });
        });
    });
}
