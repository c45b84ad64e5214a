/**
 * The log of a home slice over the real store client, whose calls are lost, delayed and refused at random.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../../../common/random.js";
import { createStoreClient } from "../../../../process/store/index.js";
import { StoreModel } from "../../../../stand-ins/store-model.js";
import { CallPath } from "../../../fakes/call-path.js";
import { FakeClock } from "../../../fakes/fake-clock.js";
import { FakeStorePort } from "../../../fakes/fake-store-port.js";
import { createFakeLog, createFakeMetrics } from "../../../fakes/fake-telemetry.js";
import type { PausableClock } from "../../../fakes/pausable-clock.js";
import type { TrackedCommit } from "./log-owner.js";
import { LogOwner } from "./log-owner.js";

const SLOTS = 4;
const OPEN_LIMIT_MS = 300_000;

interface Plan {
    readonly seed: number;
    /**
     * Shares of calls whose request is lost, whose answer is lost, or that are delayed by up to `delayMs`.
     */
    readonly dropRequest: number;
    readonly dropAnswer: number;
    readonly delay: number;
    readonly delayMs: number;
    readonly steps: readonly { readonly act: Act; readonly ms: number; }[];
}

type Act = "commit" | "hastyCommit" | "outage" | "recovery" | "pause" | "pauseAndWake" | "kill";

const plans: fc.Arbitrary<Plan> = fc.record({
    seed: fc.integer(),
    dropRequest: fc.constantFrom(0, 0.1, 0.3),
    dropAnswer: fc.constantFrom(0, 0.1, 0.3),
    delay: fc.constantFrom(0, 0.2),
    delayMs: fc.constantFrom(500, 20_000),
    steps: fc.array(
        fc.record({
            act: fc.constantFrom<Act>(
                "commit",
                "commit",
                "commit",
                "hastyCommit",
                "hastyCommit",
                "outage",
                "recovery",
                "recovery",
                "pause",
                "pauseAndWake",
                "kill",
            ),
            ms: fc.constantFrom(0, 5, 300, 6_000),
        }),
        { minLength: 5, maxLength: 30 },
    ),
});

/** Runs one plan: owners succeed each other, and some paused ones resume later. */
class PlanRunner {
    private readonly clock = new FakeClock();
    private readonly model = new StoreModel(this.clock);
    private readonly commits: TrackedCommit[] = [];
    private readonly paths: CallPath[] = [];
    private epoch = 0;

    constructor(private readonly plan: Plan) {}

    async run(): Promise<void> {
        let owner = await this.openOwner();
        for (const { act, ms } of this.plan.steps) {
            owner = await this.runAct(act, owner);
            await this.clock.step(ms);
        }
        this.setOutage(false);
        await this.clock.step(60_000);
        owner.clock.pause();
        const last = await this.openOwner();
        for (const { key, result } of this.commits) {
            const isThere = last.log?.state.requests.has(key);
            assert.ok(result !== "durable" || isThere === true, `${key} was acknowledged and is lost`);
            assert.ok(result !== "notWritten" || isThere === false, `${key} was refused and is there`);
        }
    }

    private async runAct(act: Act, owner: LogOwner): Promise<LogOwner> {
        switch (act) {
            case "commit":
                this.commits.push(owner.commitKey(`k${this.commits.length}`));
                return owner;
            case "hastyCommit":
                this.commits.push(owner.commitKey(`k${this.commits.length}`, 0, 1_000));
                return owner;
            case "outage":
                this.setOutage(true);
                return owner;
            case "recovery":
                this.setOutage(false);
                return owner;
            case "kill":
                owner.clock.kill();
                return this.openOwner();
            case "pause":
            case "pauseAndWake": {
                owner.clock.pause();
                const next = await this.openOwner();
                if (act === "pauseAndWake") {
                    owner.clock.resume();
                }
                return next;
            }
        }
    }

    private setOutage(isOut: boolean): void {
        this.paths.forEach(path => {
            path.faults.unreachable = isOut;
        });
    }

    /** Opens the slice for the next owner, which needs an available store. */
    private async openOwner(): Promise<LogOwner> {
        this.setOutage(false);
        this.epoch++;
        const owner = new LogOwner(
            this.clock,
            this.model,
            this.epoch,
            SLOTS,
            clock => this.makeClient(clock),
        );
        await this.clock.wait(owner.open(), OPEN_LIMIT_MS);
        assert.equal(owner.result?.kind, "open");
        return owner;
    }

    private makeClient(clock: PausableClock) {
        const random = createRandom(this.plan.seed + this.epoch);
        const path = new CallPath(this.clock, clock, { latencyMs: 2, random });
        path.faults.dropRequestShare = this.plan.dropRequest;
        path.faults.dropAnswerShare = this.plan.dropAnswer;
        path.faults.delayShare = this.plan.delay;
        path.faults.delayLimitMs = this.plan.delayMs;
        this.paths.push(path);
        const client = createStoreClient({
            port: new FakeStorePort(this.model, path),
            clock,
            random,
            metrics: createFakeMetrics(),
            log: createFakeLog(),
            memberId: `m${this.epoch}`,
        });
        client.setBudget(10_000, 10_000);
        return client;
    }
}

describe("the log over the store client", () => {
    // Guards against an acknowledged entry that is lost and a refused one that appears. Calls are lost before
    // and after their effect or arrive up to 20 s late, the store fails and recovers, and owners pause,
    // resume and crash.
    it("keeps what it acknowledged and never shows what it refused", async () => {
        await fc.assert(
            fc.asyncProperty(plans, async plan => {
                await new PlanRunner(plan).run();
            }),
            { seed: 7_301, numRuns: 300, endOnFailure: false },
        );
    });
});
