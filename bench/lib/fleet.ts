/** Builds workers, settings and tasks for the benches of the placement core. */
import type { Random } from "../../src/common/random.js";
import { NO_RESOURCES } from "../../src/common/resources.js";
import type { PlacementCore, WorkerView, WorkItem } from "../../src/process/placement/index.js";
import {
    type BranchSettings,
    DEFAULT_BRANCH,
    DEFAULT_CELL,
    type SettingsVersion,
    type TeamSettings,
} from "../../src/version/settings.js";

/** Number of teams with quotas at the planned size. */
export const TEAMS = 410;
const RACK_SIZE = 6;

/** A branch's settings where they differ from the defaults. */
export type BranchChange = Partial<BranchSettings> & Pick<BranchSettings, "path" | "kind" | "policy">;

export function buildSettings(
    branches: readonly BranchChange[],
    teams: readonly TeamSettings[] = [],
): SettingsVersion {
    const complete = branches.map(branch => ({ ...DEFAULT_BRANCH, ...branch }));
    return {
        version: 1,
        cell: DEFAULT_CELL,
        teams: new Map(teams.map(team => [team.team, team])),
        branches: new Map(complete.map(branch => [branch.path, branch])),
    };
}

/** @returns A worker of 64 cores in a rack of six; every fourth rack has four accelerators on each worker. */
export function buildWorker(index: number, memoryMib = 256_000, domains = 8): WorkerView {
    const rack = Math.floor(index / RACK_SIZE);
    return {
        workerId: `worker-${index}`,
        rack: `rack-${rack}`,
        failureDomain: `domain-${rack % domains}`,
        capacity: { cpuMillis: 64_000, memoryMib, accelerators: rack % 4 === 0 ? 4 : 0 },
        slots: 8,
        maxConnections: 60,
        foreignUse: NO_RESOURCES,
    };
}

export function addFleet(core: PlacementCore, count: number, memoryMib?: number, domains?: number): void {
    for (let index = 0; index < count; index++) {
        core.upsertWorker(buildWorker(index, memoryMib, domains));
        core.setWorkerOpen(`worker-${index}`, true);
    }
}

/** @returns A batch task of one of 24 sizes, 3,200 millicores on average; one in 20 needs an accelerator. */
export function buildTask(id: string, random: Random, now: number, teams = TEAMS): WorkItem {
    const cpu = 500 * (1 + random.pickInt(12));
    const isAccelerated = random.pickInt(20) === 0;
    return {
        id,
        kind: "batch",
        branch: "batch",
        team: `team-${random.pickInt(teams)}`,
        callerId: "bench",
        urgent: false,
        repeatable: true,
        resources: { cpuMillis: cpu, memoryMib: cpu * 2, accelerators: isAccelerated ? 1 : 0 },
        estimateMs: 60_000,
        queuedAt: now,
        avoid: [],
    };
}

/** @returns A service request that expires `maxMs` milliseconds after `now`. */
export function buildRequest(
    id: string,
    branch: string,
    callerId: string,
    now: number,
    maxMs: number,
): WorkItem {
    return {
        id,
        kind: "service",
        branch,
        team: "portal",
        callerId,
        urgent: false,
        repeatable: true,
        resources: NO_RESOURCES,
        estimateMs: 100,
        queuedAt: now,
        deadline: now + maxMs,
        avoid: [],
    };
}
