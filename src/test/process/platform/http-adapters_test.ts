/** The HTTP adapters distinguish a request that was never sent from one whose answer is missing. */
import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { after, describe, it } from "node:test";
import { systemClock } from "../../../common/clock.js";
import type { Clock } from "../../../common/clock.js";
import { HttpStorePort, HttpVmListPort, HttpWorkerPort } from "../../../process/platform/index.js";
import { createSilentLog } from "../../../process/sinks/silent.js";
import { startVmListStandIn } from "../../../stand-ins/index.js";
import { FakeClock } from "../../fakes/fake-clock.js";
import { waitUntil } from "../../fakes/wait-until.js";

const SWAP = { key: "k", value: "v", expectedRevision: 0 };

const CALL_TIMEOUT_MS = 2_000;

/** Behaviour of a broken server, and the answer kind that the adapter must return. */
interface BrokenServer {
    readonly name: string;
    readonly handle: (socket: Socket) => void;
    readonly expected: string;
}

const brokenServers: BrokenServer[] = [
    {
        name: "resets after the request",
        handle: socket => socket.once("data", () => socket.resetAndDestroy()),
        expected: "unknown",
    },
    {
        name: "closes after the request",
        handle: socket => socket.once("data", () => socket.end()),
        expected: "unknown",
    },
    { name: "never answers", handle: socket => socket.resume(), expected: "unknown" },
    {
        name: "truncates its answer",
        handle: socket =>
            socket.once("data", () => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{"va')),
        expected: "unknown",
    },
    {
        name: "answers with a malformed body",
        handle: socket =>
            socket.once("data", () => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi")),
        expected: "unknown",
    },
    {
        name: "has an internal error",
        handle: socket =>
            socket.once("data", () => socket.end("HTTP/1.1 500 X\r\ncontent-length: 2\r\n\r\nhi")),
        expected: "unknown",
    },
    {
        name: "is overloaded",
        handle: socket =>
            socket.once("data", () => socket.end("HTTP/1.1 503 X\r\ncontent-length: 2\r\n\r\nhi")),
        expected: "unavailable",
    },
];

describe("HTTP adapters", () => {
    const closers: (() => unknown)[] = [];
    after(async () => {
        await Promise.all(closers.map(close => close()));
    });

    async function startServer(handle: (socket: Socket) => void): Promise<{ url: string; server: Server; }> {
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            closers.push(() => {
                socket.destroy();
            });
            handle(socket);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        closers.push(() => server.close());
        return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, server };
    }

    function createStorePort(url: string, clock: Clock, connections?: number): HttpStorePort {
        const port = new HttpStorePort({ url, clock, connections });
        closers.push(() => port.close());
        return port;
    }

    for (const { name, handle, expected } of brokenServers) {
        it(`a store that ${name}: ${expected}`, async () => {
            const clock = new FakeClock();
            let receivedBytes = 0;
            const { url } = await startServer(socket => {
                socket.on("data", chunk => {
                    receivedBytes += chunk.length;
                });
                handle(socket);
            });
            const call = createStorePort(url, clock).swap(SWAP, CALL_TIMEOUT_MS);
            if (name === "never answers") {
                await waitUntil(() => receivedBytes > 0, "the request");
                await clock.step(CALL_TIMEOUT_MS);
            }
            assert.equal((await call).kind, expected);
        });
    }

    it("a port without a listener: unavailable", async () => {
        const { url, server } = await startServer(() => undefined);
        await new Promise(resolve => server.close(resolve));
        assert.equal((await createStorePort(url, new FakeClock()).swap(SWAP, 1_000)).kind, "unavailable");
        const workers = new HttpWorkerPort({ clock: new FakeClock() });
        closers.push(() => workers.close());
        const order = { epoch: 1, notAfter: 1, attempt: "a" };
        assert.equal((await workers.stop({ workerId: "w", url }, order, 1_000)).kind, "unavailable");
    });

    it("a request that waited for a connection until its timeout: unavailable", async () => {
        // The only connection of the pool is occupied by a call that hangs, so the second call times out in
        // the queue. It was never sent and must not be reported as unknown.
        let requests = 0;
        const { url } = await startServer(socket => socket.on("data", () => requests++));
        const clock = new FakeClock();
        const port = createStorePort(url, clock, 1);
        const hanging = port.swap(SWAP, CALL_TIMEOUT_MS);
        const queued = port.swap(SWAP, CALL_TIMEOUT_MS / 4);
        await waitUntil(() => requests === 1, "the first request");
        await clock.step(CALL_TIMEOUT_MS / 4);
        assert.equal((await queued).kind, "unavailable");
        await clock.step(CALL_TIMEOUT_MS);
        assert.equal((await hanging).kind, "unknown");
        assert.equal(requests, 1);
    });

    it("reads the VM list, and returns undefined when it cannot be read", async () => {
        const standIn = await startVmListStandIn({ clock: systemClock });
        const vm = {
            workerId: "w",
            url: "http://127.0.0.1:1",
            rack: "r",
            failureDomain: "d",
            state: "live",
        } as const;
        standIn.model.put(vm);
        const port = new HttpVmListPort(standIn.url, systemClock, createSilentLog());
        closers.push(() => port.close());
        assert.deepEqual(await port.list(1_000), [vm]);
        await standIn.close();
        assert.equal(await port.list(200), undefined);
    });

    const oddVms = [
        { name: "a port out of range", change: { url: "http://127.0.0.1:70000" } },
        { name: "a URL that is none", change: { url: "127.0.0.1" } },
        { name: "an unknown state", change: { state: "warming" } },
        { name: "an id of another type", change: { workerId: 1 } },
    ];
    for (const { name, change } of oddVms) {
        it(`reads the other VMs beside one with ${name}`, async () => {
            // Guards against a list that is not followed any more for one entry of another writer.
            const vm = {
                workerId: "w",
                url: "http://127.0.0.1:1",
                rack: "r",
                failureDomain: "d",
                state: "live",
            };
            const body = JSON.stringify({ value: [{ ...vm, ...change }, vm] });
            const { url } = await startServer(socket =>
                socket.on(
                    "data",
                    () => socket.end(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`),
                )
            );
            const port = new HttpVmListPort(url, systemClock, createSilentLog());
            closers.push(() => port.close());
            assert.deepEqual(await port.list(1_000), [vm]);
        });
    }

    it("a worker whose URL is malformed: unavailable", async () => {
        // Guards against an order that throws, which ends the process.
        const workers = new HttpWorkerPort({ clock: new FakeClock() });
        closers.push(() => workers.close());
        const worker = { workerId: "w", url: "http://127.0.0.1:70000" };
        const order = { epoch: 1, notAfter: 1, attempt: "a" };
        assert.equal((await workers.stop(worker, order, 1_000)).kind, "unavailable");
    });
});
