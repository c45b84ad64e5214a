/**
 * Sends waiting tasks to placers: urgent jobs first, then teams by stride scheduling according to their weights,
 * with a bounded number of orders queued at each placer.
 */
import type { Millis } from "../../../common/clock.js";
import { computeMin } from "../../../common/lists.js";
import { isWithin } from "../../../common/resources.js";
import type { Resources } from "../../../common/resources.js";
import type { JobRun, LiveAttempt } from "./job-run.js";
import type { PlacerCandidate } from "./placer-selector.js";
import type { TaskEngine } from "./task-engine.js";

/** Limit on the jobs of one team that are examined for one offer when the first ones find no placer. */
const MAX_JOBS_SCANNED = 64;
const KIND_RANK: Readonly<Record<string, number>> = { short: 0, batch: 1, gang: 2 };

interface TeamQueue {
    readonly team: string;
    readonly runs: JobRun[];
    readonly weight: number;
}

/** Offers the tasks of jobs that are not gangs. */
export class Dispatcher {
    /** Stride-scheduling pass of each team; the team with the lowest pass goes next. */
    private readonly passes = new Map<string, number>();

    constructor(private readonly engine: TaskEngine) {}

    /** Makes the offers of one round, at most `offersPerTick`. */
    offerTasks(now: Millis): void {
        if (!this.engine.core.mayOrder()) {
            return;
        }
        const candidates = this.engine.selector.listCandidates();
        const budget = { remaining: this.engine.core.options.offersPerTick };
        for (const isUrgent of [true, false]) {
            this.offerTier(this.listTeams(isUrgent), candidates, now, budget);
        }
    }

    private offerTier(
        teams: TeamQueue[],
        candidates: readonly PlacerCandidate[],
        now: Millis,
        budget: { remaining: number; },
    ): void {
        while (teams.length > 0 && budget.remaining > 0) {
            const team = this.pickTeam(teams);
            const live = this.offerNext(team, candidates, now);
            if (live === undefined) {
                teams.splice(teams.indexOf(team), 1);
                continue;
            }
            budget.remaining--;
            this.passes.set(team.team, (this.passes.get(team.team) ?? 0) + 1 / team.weight);
            this.engine.sendOrder(live);
        }
    }

    /** Registers an attempt at the team's first task for which some placer has free space in its order window. */
    private offerNext(
        team: TeamQueue,
        candidates: readonly PlacerCandidate[],
        now: Millis,
    ): LiveAttempt | undefined {
        for (const run of team.runs.slice(0, MAX_JOBS_SCANNED)) {
            const index = run.findNext(now);
            if (index === undefined) {
                team.runs.splice(team.runs.indexOf(run), 1);
                continue;
            }
            const { resources, branch, urgent } = run.record.spec;
            const chosen = this.engine.selector.chooseForTask(candidates, resources, branch, urgent);
            if (chosen !== undefined) {
                const live = this.engine.registerAttempt(run, index, chosen.memberId);
                this.engine.core.logRoute(live.attempt, branch, chosen.memberId, "shorterQueueOfTwo");
                return live;
            }
            run.reason = describeMisfit(candidates, resources) ??
                "every placer that could hold it has enough waiting";
        }
        return undefined;
    }

    private listTeams(isUrgent: boolean): TeamQueue[] {
        const teams = new Map<string, TeamQueue>();
        const settings = this.engine.core.context.settings.getCurrent();
        for (const run of this.engine.runs.values()) {
            const { spec, caller } = run.record;
            if (spec.kind === "gang" || spec.urgent !== isUrgent || !run.canStart()) {
                continue;
            }
            const queue = teams.get(caller.team);
            if (queue === undefined) {
                const weight = Math.max(MIN_WEIGHT, settings?.teams.get(caller.team)?.weight ?? 1);
                teams.set(caller.team, { team: caller.team, runs: [run], weight });
            }
            else {
                queue.runs.push(run);
            }
        }
        for (const queue of teams.values()) {
            queue.runs.sort((left, right) => rankRun(left) - rankRun(right));
        }
        this.syncPasses(teams);
        return [...teams.values()];
    }

    /** Starts a team that was idle at the lowest pass of the others, so that it gets no credit for its idle time. */
    private syncPasses(teams: ReadonlyMap<string, TeamQueue>): void {
        const knownPasses = [...teams.keys()].flatMap(team => this.passes.get(team) ?? []);
        const lowestPass = knownPasses.length === 0 ? 0 : computeMin(knownPasses);
        for (const team of this.passes.keys()) {
            if (!teams.has(team) && (this.passes.get(team) ?? 0) <= lowestPass) {
                this.passes.delete(team);
            }
        }
        for (const team of teams.keys()) {
            if (!this.passes.has(team)) {
                this.passes.set(team, lowestPass);
            }
        }
    }

    private pickTeam(teams: readonly TeamQueue[]): TeamQueue {
        return teams.reduce((best, team) =>
            (this.passes.get(team.team) ?? 0) < (this.passes.get(best.team) ?? 0) ? team : best
        );
    }
}

const MIN_WEIGHT = 0.001;

/** Ranks short jobs before batches. Within a kind, the stable sort keeps the map's order: oldest first. */
function rankRun(run: JobRun): number {
    return KIND_RANK[run.record.spec.kind] ?? 1;
}

/**
 * Explains why no placer can take a task: none is ready, or the task is larger than any worker.
 * @param candidates - Placers that accept work now.
 * @param demand - Resources of the task.
 * @returns Undefined if some placer has a worker that is large enough.
 */
export function describeMisfit(
    candidates: readonly PlacerCandidate[],
    demand: Resources,
): string | undefined {
    if (candidates.length === 0) {
        return "no placer is ready: entries are taking over workers, or none can be reached";
    }
    if (candidates.some(({ load }) => isWithin(demand, load.largestWorker))) {
        return undefined;
    }
    const largest = candidates
        .filter(({ load }) => load.workers > 0)
        .map(({ load }) => load.largestWorker)
        .map(worker => `${worker.cpuMillis}m/${worker.memoryMib}MiB/${worker.accelerators}acc`);
    const sizes = [...new Set(largest)].join(", ");
    return `it can never fit: it needs ${demand.cpuMillis}m processors, ${demand.memoryMib} MiB and ` +
        `${demand.accelerators} accelerators, and the largest workers have ${sizes}; ` +
        "make the tasks smaller, or add a larger worker (it is looked at again when the fleet changes)";
}
