/** A loopback TCP proxy that injects connection faults on demand. */
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { sleep, systemClock } from "../../src/common/clock.js";

/** Fault that a proxy applies to its connections. */
export const PathFault = {
    none: "none",
    /** Each chunk of data is delayed. */
    delayed: "delayed",
    /** Open connections are closed and new ones are reset. */
    reset: "reset",
    /** Connections stay open, but no data is forwarded in either direction. */
    silent: "silent",
    /** Requests are forwarded and executed, but responses are discarded. */
    answersLost: "answersLost",
} as const;
export type PathFault = (typeof PathFault)[keyof typeof PathFault];

const DELAY_MS = 120;

interface Pair {
    readonly client: Socket;
    readonly server: Socket;
}

/** Forwards each accepted connection to one target, subject to the current fault. */
export class TcpProxy {
    private readonly pairs = new Set<Pair>();
    private fault: PathFault = PathFault.none;

    private constructor(private readonly listener: Server, private readonly target: string) {
        listener.on("connection", client => this.acceptClient(client));
    }

    /**
     * Opens a proxy on a free loopback port.
     * @param target - `host:port` to which connections are forwarded.
     */
    static async open(target: string): Promise<TcpProxy> {
        const listener = createServer();
        await new Promise<void>(resolve => listener.listen(0, "127.0.0.1", resolve));
        return new TcpProxy(listener, target);
    }

    /** `host:port` on which the proxy listens. */
    get address(): string {
        return `127.0.0.1:${(this.listener.address() as AddressInfo).port}`;
    }

    /** Sets the current fault. Connections that may have lost data are closed when a fault that discards data ends. */
    setFault(fault: PathFault): void {
        const wasDiscarding = this.fault === PathFault.silent || this.fault === PathFault.answersLost;
        this.fault = fault;
        if (wasDiscarding || fault === PathFault.reset) {
            this.pairs.forEach(pair => closePair(pair));
        }
    }

    /** Closes the listener and all connections. */
    close(): void {
        this.listener.close();
        this.pairs.forEach(pair => closePair(pair));
    }

    private acceptClient(client: Socket): void {
        if (this.fault === PathFault.reset) {
            client.resetAndDestroy();
            return;
        }
        const separator = this.target.lastIndexOf(":");
        const server = connect({
            host: this.target.slice(0, separator),
            port: Number(this.target.slice(separator + 1)),
        });
        const pair: Pair = { client, server };
        this.pairs.add(pair);
        this.forwardData(pair, client, server, [PathFault.silent]);
        this.forwardData(pair, server, client, [PathFault.silent, PathFault.answersLost]);
    }

    private forwardData(pair: Pair, from: Socket, to: Socket, stoppedBy: readonly PathFault[]): void {
        let order = Promise.resolve();
        from.setNoDelay(true);
        from.on("data", chunk => {
            order = order.then(() => this.forwardChunk(chunk, to, stoppedBy));
        });
        from.on("error", () => this.endPair(pair));
        from.on("close", () => this.endPair(pair));
    }

    private async forwardChunk(chunk: Buffer, to: Socket, stoppedBy: readonly PathFault[]): Promise<void> {
        if (this.fault === PathFault.delayed) {
            await sleep(systemClock, DELAY_MS);
        }
        if (!stoppedBy.includes(this.fault) && !to.destroyed) {
            to.write(chunk);
        }
    }

    private endPair(pair: Pair): void {
        this.pairs.delete(pair);
        closePair(pair);
    }
}

function closePair({ client, server }: Pair): void {
    client.destroy();
    server.destroy();
}
