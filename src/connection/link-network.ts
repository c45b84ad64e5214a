/** Byte streams between nodes: over TCP in production, simulated in tests. */
import { connect, createServer } from "node:net";
import type { Clock, Millis } from "../common/clock.js";
import { openPort } from "./open-port.js";

/** One end of a byte stream; implemented by `net.Socket`. */
export interface LinkSocket {
    /** Bytes that are buffered and not sent yet. */
    readonly writableLength: number;
    on(event: "data", listener: (chunk: Buffer) => void): unknown;
    on(event: "error", listener: (error: Error) => void): unknown;
    on(event: "close", listener: () => void): unknown;
    setNoDelay(isEnabled: boolean): unknown;
    write(bytes: Buffer): unknown;
    destroy(): unknown;
}

/** Result of an attempt to connect. */
export type ConnectResult =
    | { readonly kind: "up"; readonly socket: LinkSocket; }
    /** Nothing listens at the address. */
    | { readonly kind: "refused"; }
    /** No connection within the timeout, or another error than a refusal. */
    | { readonly kind: "silent"; };

/** An open port that accepts connections. */
export interface LinkListener {
    readonly port: number;
    close(): void;
}

/** Connections between nodes. */
export interface LinkNetwork {
    /**
     * Starts to listen; rejects if the port cannot be opened.
     * @param port - 0 for any free port.
     * @param handleSocket - Called with each accepted connection.
     * @param handleError - Called with errors of the listener, which goes on listening.
     */
    listen(
        host: string,
        port: number,
        handleSocket: (socket: LinkSocket) => void,
        handleError: (error: Error) => void,
    ): Promise<LinkListener>;
    /**
     * Connects to an address.
     * @param address - `host:port`.
     * @param timeout - Time after which the attempt ends as `silent`.
     */
    connect(address: string, timeout: Millis): Promise<ConnectResult>;
}

/** Creates the TCP network of the running system. */
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
