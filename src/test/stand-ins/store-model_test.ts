/** The store model keeps the guarantees that the system relies on. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { StoreSwap } from "../../process/ports/index.js";
import { StoreModel } from "../../stand-ins/index.js";
import { FakeClock } from "../fakes/fake-clock.js";

function makeStore(): { clock: FakeClock; store: StoreModel; } {
    const clock = new FakeClock();
    return { clock, store: new StoreModel(clock, { historyLimit: 3, valueLimit: 10 }) };
}

describe("StoreModel", () => {
    const swaps: { name: string; swap: StoreSwap; expected: string; }[] = [
        { name: "creates", swap: { key: "b", value: "1", expectedRevision: 0 }, expected: "done" },
        { name: "replaces", swap: { key: "a", value: "1", expectedRevision: 1 }, expected: "done" },
        { name: "deletes", swap: { key: "a", value: undefined, expectedRevision: 1 }, expected: "done" },
        {
            name: "refuses a second creation",
            swap: { key: "a", value: "1", expectedRevision: 0 },
            expected: "conflict",
        },
        {
            name: "refuses an old revision",
            swap: { key: "a", value: "1", expectedRevision: 7 },
            expected: "conflict",
        },
        {
            name: "refuses a large value",
            swap: { key: "a", value: "12345678901", expectedRevision: 1 },
            expected: "tooLarge",
        },
        {
            name: "refuses an expired lease",
            swap: { key: "a", value: "1", expectedRevision: 1, leaseId: "none" },
            expected: "noLease",
        },
    ];
    for (const { name, swap, expected } of swaps) {
        it(`${name} by compare-and-swap`, () => {
            const { store } = makeStore();
            store.putDirectly("a", "0");
            const answer = store.swap(swap);
            assert.equal(answer.kind === "refused" ? answer.reason : answer.kind, expected);
        });
    }

    it("deletes the keys of a lease when it expires, and not before", async () => {
        const { clock, store } = makeStore();
        const lease = store.grantLease(100);
        assert(lease.kind === "done");
        store.swap({ key: "a", value: "1", expectedRevision: 0, leaseId: lease.value });
        await clock.step(99);
        assert.equal(store.renewLease(lease.value).kind, "done");
        await clock.step(99);
        assert.notEqual(getValue(store, "a"), undefined);
        await clock.step(1);
        assert.equal(getValue(store, "a"), undefined);
        assert.equal(store.renewLease(lease.value).kind, "refused");
    });

    it("answers a waiting poll at the first change under its prefix", async () => {
        const { clock, store } = makeStore();
        const polled = store.poll("a/", 0, 1000);
        store.putDirectly("b/1", "other");
        store.putDirectly("a/1", "x");
        const answer = await clock.wait(polled, 10);
        assert(answer.kind === "done");
        assert.deepEqual(answer.value.events, [{ key: "a/1", value: "x", revision: 2 }]);
        assert.equal(answer.value.revision, 2);
    });

    it("answers a poll without changes after its wait", async () => {
        const { clock, store } = makeStore();
        const answer = await clock.wait(store.poll("a/", 0, 1000), 1000);
        assert(answer.kind === "done");
        assert.deepEqual(answer.value.events, []);
    });

    it("refuses a poll from a compacted revision", async () => {
        const { store } = makeStore();
        ["1", "2", "3", "4"].forEach(value => store.putDirectly("a", value));
        const answers = await Promise.all([store.poll("a", 0, 10), store.poll("a", 1, 10)]);
        assert.deepEqual(answers.map(answer => answer.kind), ["refused", "done"]);
    });
});

function getValue(store: StoreModel, key: string): string | undefined {
    const answer = store.read(key);
    return answer.kind === "done" ? answer.value?.value : undefined;
}
