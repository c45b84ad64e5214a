/** The store client reports correct results and its watches miss nothing, whatever faults its calls have. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../../common/random.js";
import type { StoreListing } from "../../../process/ports/index.js";
import type { StoreClient, WriteResult } from "../../../process/store-client.js";
import {
    CORRUPT_RECORD_CODE,
    createStoreClient,
    encodeEnvelope,
    NEWER_RECORD_CODE,
} from "../../../process/store/index.js";
import { StoreModel } from "../../../stand-ins/index.js";
import { CallPath } from "../../fakes/call-path.js";
import type { CallFault } from "../../fakes/call-path.js";
import { FakeClock } from "../../fakes/fake-clock.js";
import { FakeStorePort } from "../../fakes/fake-store-port.js";
import { createFakeLog, createFakeMetrics } from "../../fakes/fake-telemetry.js";
import type { FakeLog } from "../../fakes/fake-telemetry.js";
import { PausableClock } from "../../fakes/pausable-clock.js";

interface StoreClientFixture {
    readonly clock: FakeClock;
    readonly store: StoreModel;
    readonly path: CallPath;
    readonly port: FakeStorePort;
    readonly client: StoreClient;
    readonly log: FakeLog;
}

function createFixture(): StoreClientFixture {
    const clock = new FakeClock();
    const store = new StoreModel(clock);
    const path = new CallPath(clock, new PausableClock(clock), { latencyMs: 1, random: createRandom(1) });
    const port = new FakeStorePort(store, path);
    const log = createFakeLog();
    const client = createStoreClient({
        port,
        clock,
        random: createRandom(2),
        metrics: createFakeMetrics(),
        log,
        memberId: "m1",
    });
    return { clock, store, path, port, client, log };
}

const WRITE = { key: "a", value: "mine", expectedRevision: 0, timeoutMs: 10_000 };

describe("StoreClient.write", () => {
    const drop: CallFault = { kind: "dropAnswer" };
    const late: CallFault = { kind: "delayRequest", ms: 1_500 };
    const refused: CallFault = { kind: "refuseConnection" };
    const cases: {
        name: string;
        faults: CallFault[];
        limitMs?: number;
        expected: WriteResult["kind"];
        writes: number;
    }[] = [
        { name: "no fault", faults: [], expected: "done", writes: 1 },
        { name: "lost answer", faults: [drop], expected: "done", writes: 1 },
        { name: "lost answer twice", faults: [drop, drop], expected: "done", writes: 1 },
        { name: "lost request", faults: [{ kind: "dropRequest" }], expected: "done", writes: 1 },
        { name: "first attempt arrives after the second", faults: [late], expected: "done", writes: 1 },
        { name: "connection refused twice", faults: [refused, refused], expected: "done", writes: 1 },
        {
            name: "store never reached",
            faults: Array<CallFault>(20).fill(refused),
            limitMs: 500,
            expected: "unavailable",
            writes: 0,
        },
        {
            name: "lost answer and a short time limit",
            faults: [drop],
            limitMs: 500,
            expected: "unknown",
            writes: 1,
        },
        {
            name: "lost answer, then store unreachable",
            faults: [drop, ...Array<CallFault>(20).fill(refused)],
            limitMs: 3_000,
            expected: "unknown",
            writes: 1,
        },
    ];
    for (const { name, faults, limitMs, expected, writes } of cases) {
        it(`${name}: ${expected}`, async () => {
            const { clock, path, client, store } = createFixture();
            path.plan(...faults);
            const result = await clock.wait(
                client.write({ ...WRITE, timeoutMs: limitMs ?? WRITE.timeoutMs }),
                20_000,
            );
            await clock.step(20_000);
            assert.equal(result.kind, expected);
            assert.equal(store.getRevision(), writes);
        });
    }

    it("returns the current record when refused, without its envelope", async () => {
        const { clock, client, store } = createFixture();
        store.putDirectly("a", encodeEnvelope("other", "theirs"));
        const result = await clock.wait(client.write(WRITE), 100);
        assert.deepEqual(result, { kind: "refused", current: { key: "a", value: "theirs", revision: 1 } });
    });

    it("reports superseded when its own record may have been stored in between", async () => {
        // The write is applied but its answer is lost; another member replaces the record, and the retry
        // finds that one. The caller's write must be reported neither as done nor as refused.
        const { clock, path, client, store } = createFixture();
        path.plan({ kind: "dropAnswer" });
        const writing = client.write(WRITE);
        await clock.step(500);
        store.putDirectly("a", encodeEnvelope("other", "theirs"));
        assert.equal((await clock.wait(writing, 10_000)).kind, "superseded");
    });

    it("resolves a deletion whose answer was lost", async () => {
        const { clock, path, client } = createFixture();
        const created = await clock.wait(client.write(WRITE), 100);
        assert(created.kind === "done");
        path.plan({ kind: "dropAnswer" });
        const deletion = { ...WRITE, value: undefined, expectedRevision: created.revision };
        assert.equal((await clock.wait(client.write(deletion), 10_000)).kind, "done");
        assert.deepEqual(await clock.wait(client.read("a", 100), 100), { kind: "done", value: undefined });
    });

    it("keeps to its budget, which vital writes bypass", async () => {
        const { clock, client, store } = createFixture();
        client.setBudget(2, 100);
        const results = Array.from(
            { length: 20 },
            (...[, index]) => client.write({ ...WRITE, key: `k${index}`, timeoutMs: 3_000 }),
        );
        const vital = client.write({ ...WRITE, key: "vital", vital: true });
        assert.equal((await clock.wait(vital, 10)).kind, "done");
        await clock.step(5_000);
        const kinds = (await Promise.all(results)).map(result => result.kind);
        const done = kinds.filter(kind => kind === "done").length;
        assert(done >= 5 && done <= 8, `${done} done`);
        assert.equal(kinds.filter(kind => kind === "unavailable").length, 20 - done);
        assert.equal(store.getCounters().writes, done + 1);
    });

    it("reaches a store that answers after 5 s", async () => {
        // The store is slow: each call is applied after 2.5 s and answered after 5 s. With a fixed timeout no
        // answer would ever arrive in time; the write must succeed, if slowly.
        const { clock, path, client } = createFixture();
        path.faults.slowMs = 2_500;
        const result = await clock.wait(client.write({ ...WRITE, timeoutMs: 60_000 }), 60_000);
        assert.equal(result.kind, "done");
    });
});

describe("StoreClient.read", () => {
    const refusals = [
        { name: "a damaged record", text: '{"format":1,"da', code: CORRUPT_RECORD_CODE },
        { name: "a record without an envelope", text: "plain", code: CORRUPT_RECORD_CODE },
        { name: "a record of a newer program", text: '{"format":2,"body":7}', code: NEWER_RECORD_CODE },
    ];
    for (const { name, text, code } of refusals) {
        it(`rejects ${name} with a warning, in reads, listings, watches and conflicts`, async () => {
            const { clock, client, store, log } = createFixture();
            store.putDirectly("a/1", text);
            const read = await clock.wait(client.read("a/1", 500), 500);
            const listed = await clock.wait(client.list("a/", 500), 500);
            const written = await clock.wait(client.write({ ...WRITE, key: "a/1" }), 500);
            assert.deepEqual([read.kind, listed.kind, written.kind], [
                "unavailable",
                "unavailable",
                "unavailable",
            ]);
            assert.deepEqual(log.lines.map(line => line.code), [code, code, code]);
            const seen: string[] = [];
            const watch = client.watch("a/", {
                replaceAll: ({ records }) => seen.push(...records.map(record => record.value)),
                applyEvent: (...[, value]) => seen.push(value ?? "deleted"),
            });
            await clock.step(1_000);
            assert.deepEqual(seen, []);
            store.putDirectly("a/1", encodeEnvelope("w", "repaired"));
            await clock.step(5_000);
            assert.deepEqual(seen, ["repaired"]);
            watch.stop();
            client.close();
        });
    }

    it("detects a stale read and retries until it is fresh", async () => {
        // The platform may serve reads from replicas. A member writes, then reads from a lagging replica, and
        // must not find its own write missing.
        const { clock, client, port, store } = createFixture();
        await clock.wait(client.write(WRITE), 100);
        let listings = 0;
        port.read = () => Promise.resolve({ kind: "done", value: undefined });
        const listFresh = port.list.bind(port);
        const stale: StoreListing = { records: [], revision: 0 };
        port.list = (prefix, timeout) =>
            ++listings < 3 ? Promise.resolve({ kind: "done", value: stale }) : listFresh(prefix, timeout);
        const read = await clock.wait(client.read("a", 5_000), 5_000);
        assert(read.kind === "done");
        assert.equal(read.value?.revision, store.getRevision());
    });

    it("ends at its deadline when the store is down", async () => {
        const { clock, client, path } = createFixture();
        path.faults.unreachable = true;
        assert.equal((await clock.wait(client.read("a", 3_000), 3_000)).kind, "unavailable");
        assert.equal(client.getLastContact(), undefined);
    });
});

describe("StoreClient leases", () => {
    it("distinguishes a lapsed lease from an unreachable store", async () => {
        const { clock, client, path } = createFixture();
        const lease = await clock.wait(client.grantLease(1_000, 100), 100);
        assert(lease.kind === "done");
        assert.equal(await clock.wait(client.renewLease(lease.value, 100), 100), "done");
        path.faults.unreachable = true;
        assert.equal(await clock.wait(client.renewLease(lease.value, 100), 100), "unavailable");
        path.faults.unreachable = false;
        await clock.step(2_000);
        assert.equal(await clock.wait(client.renewLease(lease.value, 100), 100), "lapsed");
    });

    it("counts the last contact from when the answered call was sent", async () => {
        const { clock, client, path } = createFixture();
        path.faults.slowMs = 100;
        const sentAt = clock.now();
        await clock.wait(client.grantLease(1_000, 900), 900);
        assert.equal(client.getLastContact(), sentAt);
    });
});
