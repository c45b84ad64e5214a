/**
 * The census: what every placer knows of the work of this slice.
 *
 * @remarks It decides when an attempt that nobody speaks of is surely over. It is complete when each member of
 * the ownership table has answered, and each worker slice is covered by an answer of the owner and epoch that the
 * table names, with all its workers known. Each answer also sets a floor: orders that were sent before and have
 * not arrived are refused from then on, so nothing that was given up can start later.
 */
import type { Millis } from "../../../common/clock.js";
import type { CensusAnswer } from "../../../connection/messages.js";
import { WORKER_SLICES } from "../../../version/settings.js";
import type { SliceCore } from "./core.js";

const ROUND_PAUSE_MS: Millis = 500;

/** What the census tells its slice. */
export interface CensusListener {
    /** An answer came: its tasks are told before the census can be complete. */
    handleAnswer(from: string, answer: CensusAnswer): void;
    /** Everybody has answered; attempts with an order below `floor` that nobody named are over. */
    handleComplete(startedAt: Millis, floor: number): void;
}

interface Round {
    readonly startedAt: Millis;
    readonly floor: number;
    readonly answered: Set<string>;
    /** Owner and epoch that covered each worker slice. */
    readonly covered: Map<number, string>;
}

/** Takes a census when asked, as often as it must. */
export class Census {
    private round: Round | undefined;
    private isWanted = false;
    private isRunning = false;

    constructor(
        private readonly core: SliceCore,
        private readonly listener: CensusListener,
        private readonly isStopped: () => boolean,
    ) {}

    /** Asks for a census that begins after now. */
    request(): void {
        this.isWanted = true;
        if (!this.isRunning) {
            this.isRunning = true;
            void this.runRounds();
        }
    }

    /** What is still missing, in words; empty when no census is under way. */
    describe(): string | undefined {
        if (this.round === undefined) {
            return undefined;
        }
        const silent = this.listMembers().filter(member => !this.round?.answered.has(member));
        const open = this.listOpenSlices(this.round);
        return `a census of placers is under way: ${silent.length} entries have not answered` +
            (silent.length > 0 ? ` (${silent.slice(0, NAMES_SHOWN).join(", ")})` : "") +
            `, ${open.length} worker slices are not covered` +
            (open.length > 0 ? ` (${open.slice(0, NAMES_SHOWN).join(", ")})` : "");
    }

    private async runRounds(): Promise<void> {
        while (this.isWanted && !this.isStopped()) {
            this.isWanted = false;
            const round: Round = {
                startedAt: this.core.context.clock.now(),
                floor: this.core.getNextSequence(),
                answered: new Set(),
                covered: new Map(),
            };
            this.round = round;
            await this.runRound(round);
            this.round = undefined;
        }
        this.isRunning = false;
    }

    private async runRound(round: Round): Promise<void> {
        while (!this.isStopped()) {
            await Promise.all(this.listDue(round).map(member => this.queryMember(round, member)));
            if (this.isComplete(round)) {
                const tookMs = this.core.context.clock.now() - round.startedAt;
                this.core.context.metrics.time("home.censusTime", tookMs);
                this.listener.handleComplete(round.startedAt, round.floor);
                return;
            }
            await this.pauseRound();
        }
    }

    /** Members that have not answered, or whose answer does not cover a slice that they own now. */
    private listDue(round: Round): string[] {
        const due = new Set(this.listMembers().filter(member => !round.answered.has(member)));
        for (const slice of this.listOpenSlices(round)) {
            const owner = this.core.context.ownership.getWorkerSliceOwner(slice);
            if (owner !== undefined) {
                due.add(owner.memberId);
            }
        }
        return [...due];
    }

    private async queryMember(round: Round, memberId: string): Promise<void> {
        const { peers } = this.core.context;
        const { slice: homeSlice, epoch, options } = this.core;
        const call = { kind: "census", homeSlice, epoch, floor: round.floor } as const;
        const result = await peers.call(memberId, call, options.callTimeoutMs);
        if (result.kind !== "answer" || result.body.kind !== "census" || this.isStopped()) {
            return;
        }
        round.answered.add(memberId);
        for (const status of result.body.slices) {
            if (status.ready) {
                round.covered.set(status.slice, makeOwnerKey(memberId, status.epoch));
            }
        }
        this.listener.handleAnswer(memberId, result.body);
    }

    /**
     * Guards against giving up a task that runs on a worker whose slice moves meanwhile: it shows as a slice whose
     * owner or epoch in the table is not the one that covered it, and that owner is asked again.
     */
    private isComplete(round: Round): boolean {
        return this.core.mayOrder() && this.listMembers().every(member => round.answered.has(member)) &&
            this.listOpenSlices(round).length === 0;
    }

    private listOpenSlices(round: Round): number[] {
        const open: number[] = [];
        for (let slice = 0; slice < WORKER_SLICES; slice++) {
            const owner = this.core.context.ownership.getWorkerSliceOwner(slice);
            const key = owner === undefined ? undefined : makeOwnerKey(owner.memberId, owner.epoch);
            if (key === undefined || round.covered.get(slice) !== key) {
                open.push(slice);
            }
        }
        return open;
    }

    private listMembers(): string[] {
        return this.core.context.ownership.listMembers().map(member => member.memberId);
    }

    private pauseRound(): Promise<void> {
        return new Promise(resolve => {
            this.core.context.clock.schedule(ROUND_PAUSE_MS, resolve);
        });
    }
}

const NAMES_SHOWN = 5;

function makeOwnerKey(memberId: string, epoch: number): string {
    return `${memberId} ${epoch}`;
}
