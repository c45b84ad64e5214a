/** Slow clients are refused in bounded time, and a slow process does not refuse clients that are not slow. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../../common/clock.js";
import { FakeClock } from "../../fakes/fake-clock.js";
import { PausableClock } from "../../fakes/pausable-clock.js";
import { waitUntil } from "../../fakes/wait-until.js";
import { buildHead, openHttp, openSocket } from "./http-harness.js";

const PATH = "/v1/services/services/catalogo-beni";
const HEALTH = buildHead("GET", "/healthz");
const HEADERS_TIMEOUT_MS: Millis = 1_000;
const REQUEST_TIMEOUT_MS: Millis = 3_000;
const LIMITS = { headersTimeoutMs: HEADERS_TIMEOUT_MS, requestTimeoutMs: REQUEST_TIMEOUT_MS };
/** Arrivals are checked four times within the shorter timeout. */
const CHECK_INTERVAL_MS: Millis = 250;
/** Time that a refused client has to read its reply. */
const LINGER_MS: Millis = 1_000;
const KEEP_ALIVE_MS: Millis = 1_000;
/** Node keeps an idle connection this much longer than its timeout says. */
const KEEP_ALIVE_BUFFER_MS: Millis = 1_000;
const DRIP_INTERVAL_MS: Millis = 50;

/** Stops this process, as a long turn of the event loop does. */
function pauseProcess(duration: Millis): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, duration);
}

type TestSocket = ReturnType<typeof openSocket>;

/** Sends bytes and waits until the server has read them. */
async function sendBytes({ socket, countRead }: TestSocket, bytes: string): Promise<void> {
    const expected = countRead() + bytes.length;
    socket.write(bytes);
    await waitUntil(() => countRead() === expected, "the server to read the bytes");
}

async function receive({ state }: TestSocket, text: string): Promise<void> {
    await waitUntil(() => state.received.includes(text), `"${text}"`);
}

describe("slow clients", () => {
    interface SlowCase {
        readonly name: string;
        /** What the client sends at once. */
        readonly first: string;
        /** What it sends byte by byte afterwards, over and over. */
        readonly drip: string;
        readonly limitMs: Millis;
    }
    const cases: readonly SlowCase[] = [
        { name: "a silent connection", first: "", drip: "", limitMs: HEADERS_TIMEOUT_MS },
        { name: "an unfinished head", first: "GET / HTTP/1.1\r\n", drip: "", limitMs: HEADERS_TIMEOUT_MS },
        {
            name: "a dripping head",
            first: "GET / HTTP/1.1\r\n",
            drip: "a: b\r\n",
            limitMs: HEADERS_TIMEOUT_MS,
        },
        {
            name: "a dripping body",
            first: buildHead("POST", PATH, ["content-length: 1000"]),
            drip: "x",
            limitMs: REQUEST_TIMEOUT_MS,
        },
        {
            name: "a dripping chunked body",
            first: buildHead("POST", PATH, ["transfer-encoding: chunked"]),
            drip: "1\r\nx\r\n",
            limitMs: REQUEST_TIMEOUT_MS,
        },
    ];
    for (const { name, first, drip, limitMs } of cases) {
        for (const isReused of [false, true].filter(reused => !reused || first !== "")) {
            it(`${name} on a ${isReused ? "used" : "new"} connection is refused within its timeout`, async () => {
                const clock = new FakeClock();
                const { server, gateway, metrics } = await openHttp(LIMITS, clock);
                const client = openSocket(server.port);
                await waitUntil(() => !client.socket.connecting, "the connection");
                if (isReused) {
                    await sendBytes(client, HEALTH);
                    await receive(client, "ok");
                    // The pause of an idle connection does not count.
                    await clock.step(10 * REQUEST_TIMEOUT_MS);
                    assert.equal(client.state.closed, false);
                }
                else {
                    // Connections are accepted in order: the client's is accepted once this reply is here.
                    const other = openSocket(server.port);
                    other.socket.write(HEALTH);
                    await receive(other, "ok");
                }
                await sendBytes(client, first);
                for (let elapsed = 0; elapsed < limitMs - DRIP_INTERVAL_MS; elapsed += DRIP_INTERVAL_MS) {
                    if (drip !== "") {
                        await sendBytes(client, drip[elapsed / DRIP_INTERVAL_MS % drip.length] ?? "");
                    }
                    await clock.step(DRIP_INTERVAL_MS);
                }
                assert.equal(metrics.counters.get("http.refused"), undefined);
                // One check notices that the request has begun, a later one that it is overdue.
                await clock.step(DRIP_INTERVAL_MS + 2 * CHECK_INTERVAL_MS);
                assert.equal(metrics.counters.get("http.refused"), 1);
                await receive(client, "tooSlow");
                await waitUntil(() => client.state.closed, "the end of the connection");
                assert.match(client.state.received, /HTTP\/1\.1 408 .*"ran":"no"/s);
                assert.equal(gateway.serviceRequests.length, 0);
            });
        }
    }
});

describe("refused clients", () => {
    const cases = [
        { name: "head", first: "POST", rest: `${buildHead("POST", PATH, ["content-length: 2"]).slice(4)}ok` },
        { name: "body", first: `${buildHead("POST", PATH, ["content-length: 2"])}o`, rest: "k" },
    ];
    for (const { name, first, rest } of cases) {
        // Guards against work that runs although its caller was told that it did not.
        it(`have no effect if the rest of their ${name} arrives after the refusal`, async () => {
            const clock = new FakeClock();
            const { server, gateway, metrics } = await openHttp(LIMITS, clock);
            const client = openSocket(server.port, true);
            await sendBytes(client, first);
            await clock.step(REQUEST_TIMEOUT_MS + 2 * CHECK_INTERVAL_MS);
            await receive(client, "tooSlow");
            assert.match(client.state.received, /"ran":"no"/);
            client.socket.write(rest);
            await waitUntil(
                () => client.isClosedByServer() || client.countRead() === first.length + rest.length,
                "the server to read or close",
            );
            await clock.step(LINGER_MS);
            await waitUntil(() => client.isClosedByServer(), "the end of the connection");
            assert.equal(gateway.serviceRequests.length, 0);
            assert.equal(server.countInFlight(), 0);
            assert.equal(metrics.counters.get("http.refused"), 1);
        });
    }
});

describe("idle clients", () => {
    const cases = [
        { name: "a reply", bytes: HEALTH, status: 200 },
        {
            name: "a reply to a body",
            bytes: buildHead("POST", PATH, ["content-length: 2"]),
            rest: "ok",
            status: 200,
        },
        { name: "two replies at once", bytes: HEALTH + HEALTH, status: 200 },
        {
            name: "an unknown expectation",
            bytes: buildHead("GET", "/healthz", ["expect: more"]),
            status: 417,
        },
    ];
    for (const { name, bytes, rest = "", status } of cases) {
        it(`keep their connection after ${name}`, async () => {
            const clock = new FakeClock();
            const { server, metrics } = await openHttp(LIMITS, clock);
            const client = openSocket(server.port);
            await sendBytes(client, bytes);
            await sendBytes(client, rest);
            await receive(client, `HTTP/1.1 ${status}`);
            await clock.step(10 * REQUEST_TIMEOUT_MS);
            assert.equal(metrics.counters.get("http.refused"), undefined);
            client.state.received = "";
            await sendBytes(client, HEALTH);
            await receive(client, '"ok"');
        });
    }
});

describe("a process that is late", () => {
    const cases = [
        {
            name: "head",
            first: "GET /healthz HTTP/1.1\r\nhost: x\r\n",
            rest: "\r\n",
            answer: "ok",
            // A part of a head is noticed at the next check.
            begunAfterMs: CHECK_INTERVAL_MS,
        },
        {
            name: "body",
            first: `${buildHead("POST", PATH, ["content-length: 4"])}ci`,
            rest: "ao",
            answer: "CIAO",
            begunAfterMs: 0,
        },
    ];
    for (const { name, first, rest, answer, begunAfterMs } of cases) {
        // Guards against a 408 for a caller whose bytes had arrived before the process read its sockets.
        it(`serves a request whose ${name} arrived while the event loop was blocked`, async () => {
            const { server } = await openHttp({ headersTimeoutMs: 1_000, requestTimeoutMs: 1_000 });
            const client = openSocket(server.port);
            await sendBytes(client, first);
            client.socket.write(rest);
            pauseProcess(1_500);
            await receive(client, answer);
            assert.match(client.state.received, /^HTTP\/1\.1 200 /);
        });

        it(`serves a request whose ${name} has arrived when its timeout expires`, async () => {
            const clock = new FakeClock();
            const limits = { headersTimeoutMs: HEADERS_TIMEOUT_MS, requestTimeoutMs: HEADERS_TIMEOUT_MS };
            const { server, metrics } = await openHttp(limits, clock);
            const client = openSocket(server.port);
            await sendBytes(client, first);
            await clock.step(begunAfterMs + HEADERS_TIMEOUT_MS - 1);
            assert.equal(metrics.counters.get("http.refused"), undefined);
            // Runs after the timer of the check at this instant.
            clock.schedule(1, () => client.socket.write(rest));
            await clock.step(1);
            await receive(client, answer);
            assert.match(client.state.received, /^HTTP\/1\.1 200 /);
        });

        // Guards against a 408 for a caller whose bytes are sent again after the VM was frozen.
        it(`serves a request whose ${name} arrives soon after the process was frozen`, async () => {
            const base = new FakeClock();
            const clock = new PausableClock(base);
            const { server } = await openHttp(LIMITS, clock);
            const client = openSocket(server.port);
            await sendBytes(client, first);
            await base.step(HEADERS_TIMEOUT_MS / 2);
            clock.pause();
            await base.step(10 * REQUEST_TIMEOUT_MS);
            clock.resume();
            await base.step(HEADERS_TIMEOUT_MS / 4);
            client.socket.write(rest);
            await receive(client, answer);
            assert.match(client.state.received, /^HTTP\/1\.1 200 /);
        });

        it(`refuses a request whose ${name} is overdue without the time for which it was frozen`, async () => {
            const base = new FakeClock();
            const clock = new PausableClock(base);
            const { server } = await openHttp(LIMITS, clock);
            const client = openSocket(server.port);
            await sendBytes(client, first);
            clock.pause();
            await base.step(10 * REQUEST_TIMEOUT_MS);
            clock.resume();
            await base.step(REQUEST_TIMEOUT_MS + 2 * CHECK_INTERVAL_MS);
            await receive(client, "tooSlow");
            assert.match(client.state.received, /^HTTP\/1\.1 408 /);
        });
    }

    // Guards against a reset for a caller whose next request had arrived on an idle connection.
    it("serves a request that arrived on an idle connection while the event loop was blocked", async () => {
        const { server } = await openHttp({ keepAliveMs: KEEP_ALIVE_MS });
        const client = openSocket(server.port);
        await sendBytes(client, HEALTH);
        await receive(client, '"ok"');
        client.state.received = "";
        client.socket.write(HEALTH);
        pauseProcess(KEEP_ALIVE_MS + KEEP_ALIVE_BUFFER_MS + 500);
        await receive(client, '"ok"');
    });

    it("closes an idle connection", async () => {
        const { server } = await openHttp({ keepAliveMs: 50 });
        const client = openSocket(server.port);
        await sendBytes(client, HEALTH);
        await receive(client, '"ok"');
        await waitUntil(() => client.state.closed, "the end of the connection");
    });
});
