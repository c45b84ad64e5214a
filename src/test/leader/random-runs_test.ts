/**
 * Random runs of leaders, workers and a store with random faults, from fixed seeds.
 *
 * Guarantees under all faults: no task runs twice at once, no worker is over its capacity, no refused job
 * starts, no outcome that was shown is revoked, and once all faults have ended every accepted job ends.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../common/random.js";
import type { Random } from "../../common/random.js";
import type { CallerReply } from "../../process/leader/requests.js";
import { CORE, LeaderCell, makeSpec } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const SEEDS = 60;
const WORKERS = 4;
const JOBS = 25;
const STEPS = 40;
/** Covers a lease, the time for which earlier leaders may extend leases, and a few runs. */
const SETTLE_MS = 60_000;

class RandomRun {
    private readonly cell = new LeaderCell(WORKERS);
    private readonly random: Random;
    private readonly replies = new Map<number, CallerReply>();
    private leader: TestLeader | undefined;
    private jobs = 0;
    private incarnations = WORKERS;
    private readonly shown = new Map<number, string>();

    constructor(private readonly seed: number) {
        this.random = createRandom(seed);
        this.cell.getBehavior = (task, run) => ({
            demand: CORE,
            runMs: 100 + (hashText(task) % 40) * 50,
            end: hashText(`${task}#${run}`) % 17 === 0 ? "failed" : "done",
        });
    }

    async run(): Promise<void> {
        this.leader = await this.cell.startLeader();
        for (let step = 0; step < STEPS; step++) {
            await this.step();
            await this.cell.clock.step(this.random.pickInt(600));
        }
        await this.heal();
        await this.cell.clock.step(SETTLE_MS);
        await this.check();
    }

    private async step(): Promise<void> {
        const actions = [
            () => this.submit(),
            () => this.submit(),
            () => this.submit(),
            () => this.submit(),
            () => this.breakWorker(),
            () => this.breakWorker(),
            () => this.breakStore(),
            () => this.restartWorker(),
            () => this.replaceLeader(),
            () => this.observe(),
        ];
        await actions[this.random.pickInt(actions.length)]?.();
    }

    private submit(): void {
        if (this.jobs >= JOBS) {
            return;
        }
        this.jobs += 1;
        const number = this.jobs;
        const taskCount = 1 + this.random.pickInt(6);
        const isGang = this.random.pickInt(4) === 0;
        const spec = makeSpec(
            { taskCount, isGang },
            ...(this.random.pickInt(3) === 0 ? [{ after: [0] }] : []),
        );
        if (this.leader !== undefined) {
            void this.cell.send(this.leader, number, spec).then(reply => this.replies.set(number, reply));
        }
    }

    private breakWorker(): void {
        const address = `10.0.0.${1 + this.random.pickInt(WORKERS)}:80`;
        const path = this.leader?.workers.getPath(address);
        if (path === undefined) {
            return;
        }
        const faults = [
            () => path.faults.unreachable = true,
            () => path.faults.unreachable = false,
            () => path.plan({ kind: "dropAnswer" }, { kind: "dropRequest" }),
            () => path.plan({ kind: "delayRequest", ms: 500 + this.random.pickInt(6_000) }),
            () => path.plan({ kind: "delayAnswer", ms: 300 + this.random.pickInt(2_000) }),
        ];
        faults[this.random.pickInt(faults.length)]?.();
    }

    private breakStore(): void {
        const path = this.leader?.storePath;
        if (path === undefined) {
            return;
        }
        const faults = [
            () => path.faults.unreachable = true,
            () => path.faults.unreachable = false,
            () => path.faults.unreachable = false,
            () => path.plan({ kind: "dropAnswer" }),
            () => path.plan({ kind: "delayRequest", ms: 200 + this.random.pickInt(3_000) }),
            () => this.cell.store.truncateHistory(),
        ];
        faults[this.random.pickInt(faults.length)]?.();
    }

    private restartWorker(): void {
        const number = 1 + this.random.pickInt(WORKERS);
        this.incarnations += 1;
        this.cell.addWorker(`w${this.incarnations}`, `10.0.0.${number}:80`);
        if (this.leader !== undefined) {
            this.cell.refreshWorkers(this.leader);
        }
    }

    /** Starts another leader; the old one is killed, paused, or keeps running beside it. */
    private async replaceLeader(): Promise<void> {
        const old = this.leader;
        const fates = [
            () => old?.clock.kill(),
            () => {
                old?.clock.pause();
                this.cell.clock.schedule(3_000, () => old?.clock.resume());
            },
            () => undefined,
        ];
        fates[this.random.pickInt(fates.length)]?.();
        this.leader = await this.cell.startLeader();
    }

    /** Records the outcomes shown to callers and checks that none changes. */
    private async observe(): Promise<void> {
        for (let number = 1; number <= this.jobs; number++) {
            const reply = await this.cell.show(this.leader as TestLeader, number);
            if (reply.kind === "state" && (reply.phase === "completed" || reply.phase === "failed")) {
                assert.equal(
                    this.shown.get(number) ?? reply.phase,
                    reply.phase,
                    `job ${number} changed its outcome`,
                );
                this.shown.set(number, reply.phase);
            }
            else {
                assert.equal(this.shown.get(number), undefined, `job ${number} has lost its outcome`);
            }
        }
    }

    private async heal(): Promise<void> {
        this.leader?.clock.kill();
        this.leader = await this.cell.startLeader();
    }

    private async check(): Promise<void> {
        const where = `seed ${this.seed}`;
        assert.deepEqual(this.cell.faults, [], where);
        await this.observe();
        for (let number = 1; number <= this.jobs; number++) {
            const reply = this.replies.get(number);
            const state = await this.cell.show(this.leader as TestLeader, number);
            if (reply?.kind === "accepted") {
                const phase = state.kind === "state" ? state.phase : state.kind;
                assert.match(phase, /^(completed|failed)$/, `${where}: job ${number}`);
            }
            if (reply?.kind === "refused") {
                assert.equal(this.cell.countStarts(number), 0, `${where}: refused job ${number} ran`);
            }
        }
    }
}

function hashText(text: string): number {
    let hash = 7;
    for (const letter of text) {
        hash = (hash * 31 + letter.charCodeAt(0)) % 1_000_003;
    }
    return hash;
}

describe("random runs of leaders", () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
        it(`seed ${seed}`, () => new RandomRun(seed).run());
    }
});
