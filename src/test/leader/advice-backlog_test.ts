/** Admission while the accepted jobs owe more requests to the advice service than the nodes can send soon. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { decideBacklogAdmission } from "../../process/leader/admission.js";
import type { BacklogInputs } from "../../process/leader/admission.js";
import { AdviceFault, DayAdvice } from "./day-advice.js";
import { HOST, LeaderCell, makeJobId, makeSpec, QUEUE } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const FULL: BacklogInputs = { callers: 2, queues: 3, owedMs: 24_000, queueOwedMs: 16_000, jobMs: 1_000 };

describe("a job that adds to the requests that the nodes have to send", () => {
    for (
        const { name, change, retryAfterMs } of [
            { name: "is refused if they cannot send them soon", change: {}, retryAfterMs: 2_000 },
            {
                name: "may come back once they can",
                change: { owedMs: 40_000 },
                retryAfterMs: 9_500,
            },
            { name: "is taken if they can", change: { owedMs: 22_000 }, retryAfterMs: undefined },
            { name: "is taken if enough nodes are back", change: { callers: 3 }, retryAfterMs: undefined },
            {
                name: "is taken if its queue owes less than its fair part",
                change: { queueOwedMs: 7_000 },
                retryAfterMs: undefined,
            },
            {
                name: "is refused in the only queue",
                change: { queues: 1, queueOwedMs: 24_000 },
                retryAfterMs: 2_000,
            },
        ]
    ) {
        it(name, () => {
            const admission = decideBacklogAdmission({ ...FULL, ...change }, 0.5);
            assert.equal(
                admission.kind === "overloaded" ? admission.retryAfterMs : undefined,
                retryAfterMs,
            );
        });
    }
});

const POLICY = { decideMs: 400, perWorkerMs: 5, validMs: 2_500 };
const RUN_MS: Millis = 200;
const EACH_MS: Millis = 100;
/** Time after the end of a load at which callers expect each accepted job to have started. */
const FINISH_MS: Millis = 14_000;

/** A leader with few nodes that can send requests, and jobs that arrive faster than they are answered. */
class AdviceRush {
    readonly cell = new LeaderCell(8);
    readonly advice = new DayAdvice(this.cell.clock, () => ({ policy: POLICY, allowedShare: 1 }), () => true);
    readonly accepted: number[] = [];
    private number = 0;

    constructor() {
        this.cell.config = { ...this.cell.config, queues: [{ ...QUEUE, advice: POLICY }] };
        this.cell.getBehavior = () => ({
            demand: { cpuMillis: 1_000, memoryMib: 1_024, accelerators: 0 },
            runMs: RUN_MS,
            end: "done",
        });
    }

    async startLeader(callers: number): Promise<TestLeader> {
        const leader = await this.cell.startLeader();
        for (let node = 1; node <= callers; node++) {
            leader.leader.addCaller(this.advice.buildCaller(`n${node}`, leader.clock));
        }
        await this.cell.clock.step(500);
        return leader;
    }

    /** Submits jobs for a time; returns how many were refused. */
    async submitFor({ leader }: TestLeader, durationMs: Millis): Promise<number> {
        let refused = 0;
        for (let at: Millis = 0; at < durationMs; at += EACH_MS) {
            this.number += 1;
            const { number } = this;
            const path = `${QUEUE.pathPrefix}${makeJobId(number)}`;
            const spec = makeSpec({ estimateMs: RUN_MS });
            void leader.serve({ kind: "submit", host: HOST, path, spec }).then(reply => {
                refused += reply.kind === "refused" ? 1 : 0;
                if (reply.kind === "accepted") {
                    this.accepted.push(number);
                }
            });
            await this.cell.clock.step(EACH_MS);
        }
        return refused;
    }

    countUnstarted(): number {
        return this.accepted.filter(number => this.cell.countStarts(number) === 0).length;
    }
}

describe("a leader with more jobs than the nodes can request permits for", () => {
    it("refuses jobs with the reason, starts all that it accepted soon, and takes jobs again then", async () => {
        const rush = new AdviceRush();
        const leader = await rush.startLeader(1);
        assert.ok(await rush.submitFor(leader, 40_000) > 0);
        const refusal = leader.log.lines.find(({ event, fields }) =>
            event === "jobDecided" && fields["outcome"] === "refused"
        );
        assert.equal(refusal?.fields["reason"], "too many requests to the advice service are owed");
        assert.equal(refusal.fields["callers"], 1);
        await rush.cell.clock.step(FINISH_MS);
        assert.equal(rush.countUnstarted(), 0);
        assert.equal(await rush.submitFor(leader, 300), 0);
    });

    for (
        const { name, callers, fault } of [
            { name: "no node can call the service", callers: 0, fault: AdviceFault.none },
            { name: "the service is away", callers: 2, fault: AdviceFault.failing },
            { name: "the service does not answer", callers: 2, fault: AdviceFault.silent },
        ]
    ) {
        // Guards against refusals that no measured answer supports.
        it(`refuses none while ${name}`, async () => {
            const rush = new AdviceRush();
            rush.advice.setFault("n1", fault);
            rush.advice.setFault("n2", fault);
            const leader = await rush.startLeader(callers);
            assert.equal(await rush.submitFor(leader, 10_000), 0);
        });
    }

    it("refuses none in the first second after a take-over", async () => {
        const rush = new AdviceRush();
        const first = await rush.startLeader(1);
        assert.ok(await rush.submitFor(first, 40_000) > 0);
        first.clock.kill();
        const second = await rush.startLeader(1);
        assert.equal(await rush.submitFor(second, 1_000), 0);
    });

    it("refuses none while there are enough nodes", async () => {
        const rush = new AdviceRush();
        const leader = await rush.startLeader(8);
        assert.equal(await rush.submitFor(leader, 10_000), 0);
    });
});
