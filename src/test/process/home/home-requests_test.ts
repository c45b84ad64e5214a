/** Requests that must not run twice, while entries die or are suspended and the store loses answers. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HomeReply } from "../../../connection/messages.js";
import type { WriteFault } from "./fault-injecting-store.js";
import { HomeCell, makeRequest, SLICE } from "./home-cell.js";
import type { HomeEntry } from "./home-cell.js";
import { makeServed } from "./scripted-placer.js";

async function makeCell(): Promise<{ cell: HomeCell; first: HomeEntry; second: HomeEntry; }> {
    const cell = new HomeCell();
    const first = cell.addEntry("h1");
    const second = cell.addEntry("h2");
    await cell.openSliceAt(first);
    return { cell, first, second };
}

function describeReply(reply: HomeReply): string {
    switch (reply.kind) {
        case "outcome": {
            const { outcome } = reply;
            const word = outcome.kind === "notRun" ? `notRun ${outcome.reason}` : outcome.kind;
            return reply.repeated ? `repeated ${word}` : word;
        }
        default:
            return reply.kind;
    }
}

describe("an entry dies in the middle of a request that is not repeatable", () => {
    // The owner of a request's key dies at one of these points, and the client repeats the request with the same key
    // at the entry that took over. It must not run a second time.
    const cases: readonly {
        readonly name: string;
        readonly faults: readonly WriteFault[];
        readonly serves: boolean;
        readonly storeUnavailableAtEnd: boolean;
        readonly served: number;
        readonly expected: string;
    }[] = [
        {
            name: "between start marker and dispatch",
            faults: ["doneThenSilent"],
            serves: true,
            storeUnavailableAtEnd: false,
            served: 0,
            expected: "repeated mayHaveRun",
        },
        {
            name: "between dispatch and answer",
            faults: [],
            serves: false,
            storeUnavailableAtEnd: false,
            served: 1,
            expected: "repeated mayHaveRun",
        },
        {
            name: "between answer and commit",
            faults: [],
            serves: true,
            storeUnavailableAtEnd: true,
            served: 1,
            expected: "repeated mayHaveRun",
        },
        {
            name: "after a commit whose answer was lost",
            faults: ["none", "doneThenSilent"],
            serves: true,
            storeUnavailableAtEnd: false,
            served: 1,
            expected: "repeated done",
        },
    ];
    for (const { name, faults, serves, storeUnavailableAtEnd, served, expected } of cases) {
        it(name, async () => {
            const { cell, first, second } = await makeCell();
            const placer = cell.getPlacer();
            placer.serve = () => {
                first.store.isUnavailable = storeUnavailableAtEnd;
                return serves ? Promise.resolve(makeServed()) : "never";
            };
            first.store.plan(...faults);
            void first.home.handleRequest(SLICE, makeRequest("k"));
            await cell.clock.step(1_000);
            first.clock.kill();
            await cell.openSliceAt(second);
            await cell.clock.step(1_000);
            const again = await cell.query(second, makeRequest("k"));
            assert.equal(describeReply(again), expected);
            assert.equal(placer.served.length, served);
        });
    }
});

describe("an entry is suspended past its lease and resumes", () => {
    // The owner is suspended while a start marker is being written; another takes over the slice and replies to the
    // repeat. If the first dispatched on finding its marker in the store, the request would run after its outcome was
    // reported.
    it("does not dispatch when the store's answer for its marker arrives late", async () => {
        const { cell, first, second } = await makeCell();
        const reply = first.home.handleRequest(SLICE, makeRequest("k", { deadlineMs: 60_000 }));
        await cell.clock.step(0);
        first.clock.pause();
        await cell.clock.step(30_000);
        await cell.openSliceAt(second);
        await cell.clock.step(100);
        const again = await cell.query(second, makeRequest("k"));
        first.clock.resume();
        assert.equal(describeReply(await cell.clock.wait(reply, 10_000)), "notRun notOwner");
        assert.equal(describeReply(again), "repeated mayHaveRun");
        assert.deepEqual(cell.getPlacer().served, []);
    });

    // As above, but it resumes before it writes its marker; the slot has another revision by then.
    it("cannot write its marker, and replies that nothing ran", async () => {
        const { cell, first, second } = await makeCell();
        first.clock.pause();
        await cell.clock.step(30_000);
        await cell.openSliceAt(second);
        const done = await cell.query(second, makeRequest("k"));
        first.clock.resume();
        const late = await cell.query(first, makeRequest("k"));
        assert.equal(describeReply(done), "done");
        assert.equal(describeReply(late), "notRun notOwner");
        assert.equal(cell.getPlacer().served.length, 1);
        await cell.clock.step(100);
        assert.deepEqual(first.home.listReady(), []);
    });
});

describe("the answer of a placer is lost", () => {
    // The request reached a placer, whose answer never came. Another attempt could run it twice, and "not run" at its
    // deadline could be false.
    it("makes no other attempt, and replies that the request may have run", async () => {
        const cell = new HomeCell(["p1", "p2"]);
        const entry = cell.addEntry("h1");
        await cell.openSliceAt(entry);
        cell.placers.forEach(placer => {
            placer.serve = () => "never";
        });
        const first = await cell.query(entry, makeRequest("k", { deadlineMs: 3_000 }));
        const repeat = await cell.query(entry, makeRequest("k"));
        assert.deepEqual([first, repeat].map(describeReply), ["mayHaveRun", "repeated mayHaveRun"]);
        const served = [...cell.placers.values()].flatMap(placer => placer.served);
        assert.equal(served.length, 1);
    });
});

describe("a key is used again", () => {
    it("by two concurrent requests: runs once, and both get the outcome", async () => {
        const { cell, first } = await makeCell();
        const replies = [makeRequest("k"), makeRequest("k")].map(request => cell.query(first, request));
        const words = (await Promise.all(replies)).map(describeReply);
        assert.deepEqual(words, ["done", "repeated done"]);
        assert.equal(cell.getPlacer().served.length, 1);
    });

    it("with other content: is refused and does not run", async () => {
        const { cell, first } = await makeCell();
        await cell.query(first, makeRequest("k"));
        const other = await cell.query(first, makeRequest("k", { body: new Uint8Array([2]) }));
        assert.equal(other.kind, "keyConflict");
        assert.equal(cell.getPlacer().served.length, 1);
    });

    it("after it was proved not to have run: runs", async () => {
        const { cell, first } = await makeCell();
        const placer = cell.getPlacer();
        placer.isReady = false;
        assert.equal(describeReply(await cell.query(first, makeRequest("k"))), "notRun noWorker");
        placer.isReady = true;
        await cell.clock.step(100);
        assert.equal(describeReply(await cell.query(first, makeRequest("k"))), "done");
    });

    it("while an earlier repeatable attempt may still run: is uncertain, and runs again later", async () => {
        const { cell, first, second } = await makeCell();
        const placer = cell.getPlacer();
        placer.serve = () => "never";
        void first.home.handleRequest(SLICE, makeRequest("k", { repeatable: true }));
        await cell.clock.step(100);
        first.clock.kill();
        await cell.openSliceAt(second);
        placer.serve = () => Promise.resolve(makeServed());
        const early = await cell.query(second, makeRequest("k", { repeatable: true }));
        await cell.clock.step(25_000);
        const late = await cell.query(second, makeRequest("k", { repeatable: true }));
        assert.deepEqual([early, late].map(describeReply), ["uncertain", "done"]);
        assert.equal(placer.served.length, 2);
    });
});

describe("the store loses answers or is unavailable", () => {
    const cases: readonly { readonly faults: readonly WriteFault[]; readonly expected: string; }[] = [
        { faults: ["doneButUnknown"], expected: "done" },
        { faults: ["lostButUnknown", "lostButUnknown"], expected: "done" },
        { faults: ["unavailable"], expected: "notRun storeUnavailable" },
    ];
    for (const { faults, expected } of cases) {
        it(`marker ${faults.join(", ")}: ${expected}`, async () => {
            const { cell, first } = await makeCell();
            first.store.plan(...faults);
            assert.equal(describeReply(await cell.query(first, makeRequest("k"))), expected);
            assert.equal(cell.getPlacer().served.length, expected === "done" ? 1 : 0);
        });
    }

    // The store is unavailable for ten minutes. Each request must be refused at once with a retry time, instead of
    // waiting until its deadline; afterwards the same key runs.
    it("refuses at once for ten minutes, and serves again afterwards", async () => {
        const { cell, first } = await makeCell();
        first.store.isUnavailable = true;
        for (let minute = 0; minute < 10; minute++) {
            const before = cell.clock.now();
            const reply = await cell.query(first, makeRequest("k"));
            assert.equal(describeReply(reply), "notRun storeUnavailable");
            assert.ok(
                reply.kind === "outcome" && reply.outcome.kind === "notRun" && reply.outcome.retryAfterMs,
            );
            assert.ok(cell.clock.now() - before < 100);
            await cell.clock.step(60_000);
        }
        first.store.isUnavailable = false;
        await cell.clock.step(1_000);
        assert.equal(describeReply(await cell.query(first, makeRequest("k"))), "done");
        assert.equal(cell.getPlacer().served.length, 1);
    });

    // The worker answered, and then the store became unavailable. If the entry died now, only the marker would be
    // left, so the caller must not get the answer until the end is durable.
    it("replies with the answer only once the end is durable", async () => {
        const { cell, first } = await makeCell();
        cell.getPlacer().serve = () => {
            first.store.isUnavailable = true;
            return Promise.resolve(makeServed());
        };
        const early = await cell.query(first, makeRequest("k"));
        first.store.isUnavailable = false;
        await cell.clock.step(2_000);
        const late = await cell.query(first, makeRequest("k"));
        assert.deepEqual([early, late].map(describeReply), ["uncertain", "repeated done"]);
    });
});
