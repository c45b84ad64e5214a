/** A loopback proxy whose connections misbehave on demand. */
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { sleep, systemClock } from "../../src/common/clock.js";

/** What a proxy does to the bytes that pass. */
export const PathFault = {
    none: "none",
    /** Every piece of data is held back for a while. */
    delayed: "delayed",
    /** Open connections and new ones end with a reset. */
    reset: "reset",
    /** Connections stay open, nothing passes either way. */
    silent: "silent",
    /** Requests pass, answers do not: what was asked is carried out, and nobody hears of it. */
    answersLost: "answersLost",
} as const;
export type PathFault = (typeof PathFault)[keyof typeof PathFault];

const HOLD_MS = 120;

interface Pair {
    readonly client: Socket;
    readonly server: Socket;
}

/** The proxy; see the module comment. */
export class TcpProxy {
    private readonly pairs = new Set<Pair>();
    private fault: PathFault = PathFault.none;

    private constructor(private readonly listener: Server, private readonly target: string) {
        listener.on("connection", client => this.acceptClient(client));
    }

    /**
     * Opens a proxy on a port of the operating system's choice.
     * @param target - `host:port` behind it.
     */
    static async open(target: string): Promise<TcpProxy> {
        const listener = createServer();
        await new Promise<void>(resolve => listener.listen(0, "127.0.0.1", resolve));
        return new TcpProxy(listener, target);
    }

    /** `host:port` in front of it. */
    get address(): string {
        return `127.0.0.1:${(this.listener.address() as AddressInfo).port}`;
    }

    /** Sets what happens from now on. A connection on which data was held back for good ends when the fault does. */
    setFault(fault: PathFault): void {
        const wasHolding = this.fault === PathFault.silent || this.fault === PathFault.answersLost;
        this.fault = fault;
        if (wasHolding || fault === PathFault.reset) {
            this.pairs.forEach(pair => closePair(pair));
        }
    }

    /** Ends all connections and the proxy. */
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
        this.joinSockets(pair, client, server, [PathFault.silent]);
        this.joinSockets(pair, server, client, [PathFault.silent, PathFault.answersLost]);
    }

    private joinSockets(pair: Pair, from: Socket, to: Socket, stoppedBy: readonly PathFault[]): void {
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
            await sleep(systemClock, HOLD_MS);
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
