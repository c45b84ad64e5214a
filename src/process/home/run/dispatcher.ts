/**
 * Offers waiting tasks to placers: urgent jobs first, teams in turn by weight, and a bounded number of orders
 * waiting at each placer.
 */
import type { Millis } from "../../../common/clock.js";
import { isWithin } from "../../../common/resources.js";
import type { Resources } from "../../../common/resources.js";
import type { JobRun, LiveAttempt } from "./job-run.js";
import type { PlacerCandidate } from "./placer-choice.js";
import type { TaskEngine } from "./task-engine.js";

/** Jobs of one team looked at in one round when the first ones find no placer. */
const JOBS_SCANNED = 64;
const KIND_RANK: Readonly<Record<string, number>> = { short: 0, batch: 1, gang: 2 };

interface TeamQueue {
    readonly team: string;
    readonly runs: JobRun[];
    readonly weight: number;
}

/** Offers tasks of jobs that are not gangs. */
export class Dispatcher {
    /** Position of each team on the common scale: the lowest goes next (stride scheduling). */
    private readonly passes = new Map<string, number>();

    constructor(private readonly engine: TaskEngine) {}

    /** Makes the offers of one round. */
    offerTasks(now: Millis): void {
        if (!this.engine.core.mayOrder()) {
            return;
        }
        const candidates = this.engine.choice.listCandidates();
        const budget = { left: this.engine.core.options.offersPerTick };
        for (const isUrgent of [true, false]) {
            this.offerTier(this.listTeams(isUrgent), candidates, now, budget);
        }
    }

    private offerTier(
        teams: TeamQueue[],
        candidates: readonly PlacerCandidate[],
        now: Millis,
        budget: { left: number; },
    ): void {
        while (teams.length > 0 && budget.left > 0) {
            const team = this.pickTeam(teams);
            const live = this.offerNext(team, candidates, now);
            if (live === undefined) {
                teams.splice(teams.indexOf(team), 1);
                continue;
            }
            budget.left--;
            this.passes.set(team.team, (this.passes.get(team.team) ?? 0) + 1 / team.weight);
            this.engine.sendOrder(live);
        }
    }

    /** Takes the first task of a team that some placer has a place in its window for. */
    private offerNext(
        team: TeamQueue,
        candidates: readonly PlacerCandidate[],
        now: Millis,
    ): LiveAttempt | undefined {
        for (const run of team.runs.slice(0, JOBS_SCANNED)) {
            const index = run.findNext(now);
            if (index === undefined) {
                team.runs.splice(team.runs.indexOf(run), 1);
                continue;
            }
            const { resources, branch, urgent } = run.record.spec;
            const chosen = this.engine.choice.chooseForTask(candidates, resources, branch, urgent);
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

    /** A team that comes back from rest starts level with the others, so that it can't claim its idle time. */
    private syncPasses(teams: ReadonlyMap<string, TeamQueue>): void {
        const known = [...teams.keys()].flatMap(team => this.passes.get(team) ?? []);
        const level = known.length === 0 ? 0 : Math.min(...known);
        for (const team of this.passes.keys()) {
            if (!teams.has(team) && (this.passes.get(team) ?? 0) <= level) {
                this.passes.delete(team);
            }
        }
        for (const team of teams.keys()) {
            if (!this.passes.has(team)) {
                this.passes.set(team, level);
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

/** Short runs before batches; within a kind the older first, which the map's order gives (stable sort). */
function rankRun(run: JobRun): number {
    return KIND_RANK[run.record.spec.kind] ?? 1;
}

/**
 * Says why no placer can take a task as things stand.
 * @param candidates - Placers that take work now.
 * @param need - What the task needs.
 * @returns Undefined if some placer could.
 */
export function describeMisfit(
    candidates: readonly PlacerCandidate[],
    need: Resources,
): string | undefined {
    if (candidates.length === 0) {
        return "no placer is ready: entries are taking over workers, or none can be reached";
    }
    if (candidates.some(({ load }) => isWithin(need, load.largestWorker))) {
        return undefined;
    }
    const largest = candidates
        .filter(({ load }) => load.workers > 0)
        .map(({ load }) => load.largestWorker)
        .map(worker => `${worker.cpuMillis}m/${worker.memoryMib}MiB/${worker.accelerators}acc`);
    const sizes = [...new Set(largest)].join(", ");
    return `it can never fit: it needs ${need.cpuMillis}m processors, ${need.memoryMib} MiB and ` +
        `${need.accelerators} accelerators, and the largest workers have ${sizes}; ` +
        "make the tasks smaller, or add a larger worker (it is looked at again when the fleet changes)";
}
