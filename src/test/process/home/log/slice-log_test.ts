/** The log of a home slice under crashes, pauses, takeovers and lost answers. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { listSnapshotItems } from "../../../../process/home/state/index.js";
import { StoreModel } from "../../../../stand-ins/store-model.js";
import { FakeClock } from "../../../fakes/fake-clock.js";
import type { WriteFault } from "../fault-injecting-store.js";
import type { TrackedCommit } from "./log-owner.js";
import { LogOwner, SLICE } from "./log-owner.js";

const SLOTS = 4;
/** Size of a ring large enough that a few records start no snapshot. */
const WIDE_SLOTS = 16;

/** One step of a random history. */
type Step =
    | { readonly kind: "commit"; readonly count: number; readonly size: number; }
    | { readonly kind: "fault"; readonly fault: WriteFault; }
    | { readonly kind: "time"; readonly ms: number; }
    /** The owner pauses, and another takes over the slice; the first may resume later. */
    | { readonly kind: "pauseAndTakeOver"; readonly wakes: boolean; }
    | { readonly kind: "killAndTakeOver"; };

const steps = fc.array(
    fc.oneof(
        {
            weight: 6,
            arbitrary: fc.record({
                kind: fc.constant("commit" as const),
                count: fc.integer({ min: 1, max: 4 }),
                size: fc.constantFrom(0, 0, 0, 0, 0, 10, 150_000),
            }),
        },
        {
            weight: 4,
            arbitrary: fc.record({
                kind: fc.constant("time" as const),
                ms: fc.integer({ min: 0, max: 3_000 }),
            }),
        },
        {
            weight: 3,
            arbitrary: fc.record({
                kind: fc.constant("fault" as const),
                fault: fc.constantFrom<WriteFault>(
                    "none",
                    "doneButUnknown",
                    "lostButUnknown",
                    "doneThenSilent",
                    "unavailable",
                ),
            }),
        },
        {
            weight: 1,
            arbitrary: fc.record({ kind: fc.constant("pauseAndTakeOver" as const), wakes: fc.boolean() }),
        },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("killAndTakeOver" as const) }) },
    ),
    { minLength: 5, maxLength: 40 },
);

/** Runs a history and checks the state that a new owner recovers. */
class HistoryRunner {
    readonly clock = new FakeClock();
    readonly model = new StoreModel(this.clock);
    readonly commits: TrackedCommit[] = [];
    private epoch = 0;
    private keys = 0;
    private owner = this.makeOwner();

    async run(history: readonly Step[]): Promise<void> {
        await this.clock.wait(this.owner.open(), 60_000);
        for (const step of history) {
            await this.runStep(step);
        }
        await this.clock.step(5_000);
        this.owner.clock.pause();
        await this.takeOver();
        this.checkState();
    }

    private async runStep(step: Step): Promise<void> {
        switch (step.kind) {
            case "commit":
                for (let index = 0; index < step.count; index++) {
                    this.commits.push(this.owner.commitKey(`k${this.keys++}`, step.size));
                }
                break;
            case "fault":
                this.owner.store.plan(step.fault);
                break;
            case "time":
                await this.clock.step(step.ms);
                break;
            case "pauseAndTakeOver": {
                const previous = this.owner;
                previous.clock.pause();
                await this.takeOver();
                if (step.wakes) {
                    previous.clock.resume();
                }
                break;
            }
            case "killAndTakeOver":
                this.owner.clock.kill();
                await this.takeOver();
                break;
        }
    }

    private async takeOver(): Promise<void> {
        this.owner = this.makeOwner();
        await this.clock.wait(this.owner.open(), 60_000);
        assert.equal(this.owner.result?.kind, "open");
    }

    private makeOwner(): LogOwner {
        this.epoch++;
        return new LogOwner(this.clock, this.model, this.epoch, SLOTS);
    }

    private checkState(): void {
        const requests = this.owner.log?.state.requests;
        assert.ok(requests !== undefined);
        for (const { key, result } of this.commits) {
            if (result === "durable") {
                assert.ok(requests.has(key), `${key} was acknowledged and is lost`);
            }
            if (result === "notWritten") {
                assert.ok(!requests.has(key), `${key} was refused and is there`);
            }
        }
    }
}

describe("the log of a home slice", () => {
    // Guards against an acknowledged entry that a later owner does not find and a refused one that appears.
    // Owners crash, pause, resume and lose answers at any write, while the ring wraps and snapshots are
    // written.
    it("keeps what it acknowledged and never shows what it refused", async () => {
        await fc.assert(
            fc.asyncProperty(steps, async history => {
                await new HistoryRunner().run(history);
            }),
            { seed: 20_261, numRuns: 400, endOnFailure: false },
        );
    });

    // Guards against a replay after a crash that gives another state than the owner had, after any prefix of
    // its log.
    it("reads back the state that its owner had, after each record", async () => {
        const clock = new FakeClock();
        const model = new StoreModel(clock);
        let owner = new LogOwner(clock, model, 1, SLOTS);
        await clock.wait(owner.open(), 1_000);
        for (let index = 0; index < 30; index++) {
            const commit = owner.commitKey(`k${index}`);
            await clock.step(200);
            assert.equal(commit.result, "durable");
            const had = owner.log === undefined ? [] : listSnapshotItems(owner.log.state);
            owner = new LogOwner(clock, model, index + 2, SLOTS);
            await clock.wait(owner.open(), 1_000);
            assert.deepEqual(owner.log === undefined ? undefined : listSnapshotItems(owner.log.state), had);
        }
    });

    // A record was edited by hand, or a newer program wrote it before a rollback. Skipping it could skip a
    // start marker, and its work would run twice: the slice must stay closed and name the key.
    const faults: readonly {
        readonly name: string;
        readonly change: (text: string) => string | undefined;
        readonly code: string;
    }[] = [
        { name: "an altered byte", change: text => text.replace("k1", "kx"), code: "corrupt" },
        { name: "a cut value", change: text => text.slice(0, -20), code: "corrupt" },
        { name: "foreign text", change: () => "hello", code: "corrupt" },
        { name: "a newer format", change: text => text.replace(/^1 /, "2 "), code: "newerFormat" },
        { name: "a deleted record", change: () => undefined, code: "corrupt" },
    ];
    for (const { name, change, code } of faults) {
        it(`refuses ${name} and names the key`, async () => {
            const clock = new FakeClock();
            const model = new StoreModel(clock);
            const owner = new LogOwner(clock, model, 1, WIDE_SLOTS);
            await clock.wait(owner.open(), 1_000);
            for (const key of ["k1", "k2"]) {
                owner.commitKey(key);
                await clock.step(200);
            }
            const key = `home/${SLICE}/slot/2`;
            const found = model.read(key);
            assert.ok(found.kind === "done" && found.value !== undefined);
            const { value, revision } = found.value;
            model.swap({ key, value: change(value), expectedRevision: revision });
            const next = new LogOwner(clock, model, 2, WIDE_SLOTS);
            await clock.wait(next.open(), 1_000);
            assert.equal(next.result?.kind, "fault");
            assert.equal(next.result.kind === "fault" && next.result.fault.code, code);
        });
    }

    // A snapshot part was deleted or overwritten by a paused owner: only the revision named by the head is
    // valid.
    it("refuses a snapshot part with another revision than the head names", async () => {
        const clock = new FakeClock();
        const model = new StoreModel(clock);
        const owner = new LogOwner(clock, model, 1, SLOTS);
        await clock.wait(owner.open(), 1_000);
        for (let index = 0; index < 10; index++) {
            owner.commitKey(`k${index}`);
            await clock.step(200);
        }
        const listing = model.list(`home/${SLICE}/snapshot/`);
        assert.ok(listing.kind === "done");
        const rewritten = listing.value.records;
        rewritten.forEach(({ key, value, revision }) =>
            model.swap({ key, value, expectedRevision: revision })
        );
        const next = new LogOwner(clock, model, 2, SLOTS);
        await clock.wait(next.open(), 1_000);
        assert.equal(next.result?.kind, "fault");
    });
});
