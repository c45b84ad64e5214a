/** Settings, workers and items for tests of the placement core. */
import type { WorkerView, WorkItem } from "../../../process/placement/index.js";
import type { WorkKind } from "../../../request/work.js";
import {
    type BranchSettings,
    DEFAULT_BRANCH,
    DEFAULT_CELL,
    type SettingsVersion,
    type TeamSettings,
} from "../../../version/settings.js";

/** Makes settings with one branch of each kind, named after the kind. */
export function makeSettings(
    changes: Partial<Record<WorkKind, Partial<BranchSettings>>> = {},
    teams: readonly TeamSettings[] = [],
): SettingsVersion {
    const kinds: readonly WorkKind[] = ["service", "batch", "gang", "short"];
    const branches = kinds.map(kind => ({
        ...DEFAULT_BRANCH,
        path: kind,
        kind,
        policy: kind,
        ...changes[kind],
    }));
    return {
        version: 1,
        cell: DEFAULT_CELL,
        teams: new Map(teams.map(team => [team.team, team])),
        branches: new Map(branches.map(branch => [branch.path, branch])),
    };
}

export function makeWorker(index: number, changes: Partial<WorkerView> = {}): WorkerView {
    return {
        workerId: `w${index}`,
        rack: `rack-${Math.floor(index / 2)}`,
        failureDomain: `domain-${index % 2}`,
        capacity: { cpuMillis: 8_000, memoryMib: 16_384, accelerators: index % 3 === 0 ? 2 : 0 },
        slots: 4,
        maxConnections: 60,
        foreignUse: { cpuMillis: 0, memoryMib: 0, accelerators: 0 },
        ...changes,
    };
}

export function makeItem(id: string, kind: WorkKind, changes: Partial<WorkItem> = {}): WorkItem {
    const isService = kind === "service";
    return {
        id,
        kind,
        branch: kind,
        team: "team-a",
        callerId: "caller-a",
        urgent: false,
        repeatable: true,
        resources: isService ?
            { cpuMillis: 0, memoryMib: 0, accelerators: 0 } :
            { cpuMillis: 1_000, memoryMib: 1_024, accelerators: 0 },
        estimateMs: 1_000,
        queuedAt: 0,
        avoid: [],
        ...changes,
    };
}
