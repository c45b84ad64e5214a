/** Requests that must not run twice, while entries die and pause and the store loses answers. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HomeReply } from "../../../connection/messages.js";
import { HomeCell, makeRequest, SLICE } from "./home-cell.js";
import type { HomeEntry } from "./home-cell.js";
import { makeServed } from "./scripted-placer.js";
import type { WriteFault } from "./store-for-home.js";

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
    // A volunteer's correction is sent once; the entry that owns its key dies at one of these points, and the
    // volunteer's client asks again with the same key at the entry that took over. It must not run a second time.
    const cases: readonly {
        readonly name: string;
        readonly faults: readonly WriteFault[];
        readonly serves: boolean;
        readonly storeAwayAtEnd: boolean;
        readonly served: number;
        readonly expected: string;
    }[] = [
        {
            name: "between start marker and dispatch",
            faults: ["doneThenSilent"],
            serves: true,
            storeAwayAtEnd: false,
            served: 0,
            expected: "repeated mayHaveRun",
        },
        {
            name: "between dispatch and answer",
            faults: [],
            serves: false,
            storeAwayAtEnd: false,
            served: 1,
            expected: "repeated mayHaveRun",
        },
        {
            name: "between answer and commit",
            faults: [],
            serves: true,
            storeAwayAtEnd: true,
            served: 1,
            expected: "repeated mayHaveRun",
        },
        {
            name: "after a commit whose answer was lost",
            faults: ["none", "doneThenSilent"],
            serves: true,
            storeAwayAtEnd: false,
            served: 1,
            expected: "repeated done",
        },
    ];
    for (const { name, faults, serves, storeAwayAtEnd, served, expected } of cases) {
        it(name, async () => {
            const { cell, first, second } = await makeCell();
            const placer = cell.getPlacer();
            placer.serve = () => {
                first.store.isAway = storeAwayAtEnd;
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

describe("an entry is paused past its lease and wakes", () => {
    // The owner is frozen with the write of a start marker under way. Another takes the slice and answers the
    // repeat. The first wakes, finds its marker in the store, and would now dispatch: the request would run after
    // the caller was told how it ended.
    it("does not dispatch after the answer to its marker comes late", async () => {
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

    // As above, but it wakes with a marker still to be written: the slot has another revision by then.
    it("cannot write its marker, and says that nothing ran", async () => {
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
    // The correction reached a worker, and the placer's answer never came. Trying it at another placer could run it
    // twice, and calling it "not run" at its deadline could be untrue.
    it("tries nothing else, and says that it may have run", async () => {
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
    it("twice at once: runs once, and both get the outcome", async () => {
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

    it("while an earlier repeatable try may still run: waits, then runs again", async () => {
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

describe("the store loses answers or is down", () => {
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

    // The store is down for ten minutes. Each correction is told "not run" at once, with when to come back,
    // instead of being kept until its deadline; afterwards the same key runs.
    it("answers at once for ten minutes, and goes on afterwards", async () => {
        const { cell, first } = await makeCell();
        first.store.isAway = true;
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
        first.store.isAway = false;
        await cell.clock.step(1_000);
        assert.equal(describeReply(await cell.query(first, makeRequest("k"))), "done");
        assert.equal(cell.getPlacer().served.length, 1);
    });

    // The worker answered, and then the store went away: the end is not durable, so a death now would leave only
    // the marker. The caller is told to ask again, and gets the whole answer once the end is written.
    it("gives the answer only when the end is durable", async () => {
        const { cell, first } = await makeCell();
        cell.getPlacer().serve = () => {
            first.store.isAway = true;
            return Promise.resolve(makeServed());
        };
        const early = await cell.query(first, makeRequest("k"));
        first.store.isAway = false;
        await cell.clock.step(2_000);
        const late = await cell.query(first, makeRequest("k"));
        assert.deepEqual([early, late].map(describeReply), ["uncertain", "repeated done"]);
    });
});
