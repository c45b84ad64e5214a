/**
 * The census: asks every placer which attempts of this home slice it knows.
 *
 * @remarks A complete census proves that an attempt that no placer reported is over. It is complete when each member
 * of the ownership table has answered, and each worker slice is covered by an answer from the owner and epoch in the
 * table, with all workers of the slice known. Answering also raises the placer's sequence floor: it then refuses
 * orders that were sent earlier and have not arrived, so an attempt that was given up cannot start later.
 */
import type { Millis } from "../../../common/clock.js";
import type { CensusAnswer } from "../../../connection/messages.js";
import { WORKER_SLICES } from "../../../version/settings.js";
import type { SliceCore } from "./core.js";

const POLL_INTERVAL_MS: Millis = 500;

/** Receives the results of a census. */
export interface CensusListener {
    /** Called with each answer, before the census that it belongs to can be complete. */
    handleAnswer(from: string, answer: CensusAnswer): void;
    /** Called when the census is complete: attempts with an order below `floor` that no placer reported are over. */
    handleComplete(startedAt: Millis, floor: number): void;
}

interface Round {
    readonly startedAt: Millis;
    readonly floor: number;
    readonly answered: Set<string>;
    /** Owner and epoch whose answer covered each worker slice. */
    readonly covered: Map<number, string>;
}

/** Runs censuses on request, one at a time; requests during a census lead to one more after it. */
export class Census {
    private round: Round | undefined;
    private isRequested = false;
    private isRunning = false;

    constructor(
        private readonly core: SliceCore,
        private readonly listener: CensusListener,
        private readonly isStopped: () => boolean,
    ) {}

    /** Requests a census that begins after this call. */
    request(): void {
        this.isRequested = true;
        if (!this.isRunning) {
            this.isRunning = true;
            void this.runRounds();
        }
    }

    /** Describes which answers are still missing; undefined when no census is in progress. */
    describe(): string | undefined {
        if (this.round === undefined) {
            return undefined;
        }
        const unanswered = this.listMembers().filter(member => !this.round?.answered.has(member));
        const uncovered = this.listUncoveredSlices(this.round);
        return `a census of placers is under way: ${unanswered.length} entries have not answered` +
            (unanswered.length > 0 ? ` (${unanswered.slice(0, MAX_NAMES_SHOWN).join(", ")})` : "") +
            `, ${uncovered.length} worker slices are not covered` +
            (uncovered.length > 0 ? ` (${uncovered.slice(0, MAX_NAMES_SHOWN).join(", ")})` : "");
    }

    private async runRounds(): Promise<void> {
        while (this.isRequested && !this.isStopped()) {
            this.isRequested = false;
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
            await Promise.all(this.listPendingMembers(round).map(member => this.queryMember(round, member)));
            if (this.isComplete(round)) {
                const tookMs = this.core.context.clock.now() - round.startedAt;
                this.core.context.metrics.time("home.censusTime", tookMs);
                this.listener.handleComplete(round.startedAt, round.floor);
                return;
            }
            await this.pauseRound();
        }
    }

    /** Lists members that have not answered, or whose answer does not cover a slice that they own now. */
    private listPendingMembers(round: Round): string[] {
        const pending = new Set(this.listMembers().filter(member => !round.answered.has(member)));
        for (const slice of this.listUncoveredSlices(round)) {
            const owner = this.core.context.ownership.getWorkerSliceOwner(slice);
            if (owner !== undefined) {
                pending.add(owner.memberId);
            }
        }
        return [...pending];
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
     * Whether every member has answered and every worker slice is covered by its present owner.
     *
     * @remarks A worker slice that moves during the census could hide a running task, which would then be given up.
     * Such a slice has another owner or epoch in the table than the one that covered it, so its owner is asked again.
     */
    private isComplete(round: Round): boolean {
        return this.core.mayOrder() && this.listMembers().every(member => round.answered.has(member)) &&
            this.listUncoveredSlices(round).length === 0;
    }

    private listUncoveredSlices(round: Round): number[] {
        const uncovered: number[] = [];
        for (let slice = 0; slice < WORKER_SLICES; slice++) {
            const owner = this.core.context.ownership.getWorkerSliceOwner(slice);
            const key = owner === undefined ? undefined : makeOwnerKey(owner.memberId, owner.epoch);
            if (key === undefined || round.covered.get(slice) !== key) {
                uncovered.push(slice);
            }
        }
        return uncovered;
    }

    private listMembers(): string[] {
        return this.core.context.ownership.listMembers().map(member => member.memberId);
    }

    private pauseRound(): Promise<void> {
        return new Promise(resolve => {
            this.core.context.clock.schedule(POLL_INTERVAL_MS, resolve);
        });
    }
}

const MAX_NAMES_SHOWN = 5;

function makeOwnerKey(memberId: string, epoch: number): string {
    return `${memberId} ${epoch}`;
}
