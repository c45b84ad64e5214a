/** Rules across fields: values that are valid each by itself may still contradict one another. */
import { appendAll, computeMax } from "../common/lists.js";
import type { Resources } from "../common/resources.js";
import type { SettingsFault } from "../process/operator-gateway.js";
import { WorkKind } from "../request/work.js";
import { buildBranch, buildCell, buildSettingsVersion, listNodes, type LocatedNode } from "./inherit.js";
import { POLICY_NAMES } from "./policies.js";
import type { BranchSettings, CellSettings } from "./settings.js";
import type { RootNode, TreeDocument } from "./tree-schema.js";

/** Maximum number of branch levels below the root. */
export const MAX_DEPTH = 8;
/** Maximum number of branches in a tree, the root included. */
export const MAX_BRANCHES = 2_000;
/** Maximum number of teams in a tree. */
export const MAX_TEAMS = 5_000;

/** Digest intervals that the freshness period must cover, so that a lost digest does not make a peer stale. */
const MIN_DIGESTS_PER_FRESHNESS_PERIOD = 3;
type CellRule = (cell: CellSettings) => SettingsFault | undefined;
type BranchRule = (branch: BranchSettings) => SettingsFault | undefined;

/**
 * Checks all rules across fields.
 * @param document - A tree whose fields are each valid by itself.
 * @returns All faults found. A tree over a size limit gets only its size faults.
 */
export function checkCrossFieldRules(document: TreeDocument): readonly SettingsFault[] {
    const nodes = listNodes(document.root);
    const sizeFaults = checkSizes(document.root, nodes);
    if (sizeFaults.length > 0) {
        return sizeFaults;
    }
    return [
        ...checkCell(document.root),
        ...nodes.flatMap(checkNode),
        ...checkTeams(document),
    ];
}

function checkSizes(root: RootNode, nodes: readonly LocatedNode[]): readonly SettingsFault[] {
    const faults: SettingsFault[] = [];
    const teams = Object.keys(root.teams ?? {}).length;
    if (nodes.length > MAX_BRANCHES) {
        faults.push({
            path: "(root)",
            found: `${nodes.length} branches`,
            allowed: `at most ${MAX_BRANCHES}`,
            remedy: "remove branches that take no work",
        });
    }
    if (teams > MAX_TEAMS) {
        faults.push({
            path: "(root): teams",
            found: `${teams} teams`,
            allowed: `at most ${MAX_TEAMS}`,
            remedy: "remove teams that hand in no work",
        });
    }
    const tooDeep = nodes.find(located => located.lineage.length > MAX_DEPTH + 1);
    if (tooDeep !== undefined) {
        faults.push({
            path: tooDeep.path,
            found: `${tooDeep.lineage.length - 1} levels`,
            allowed: `at most ${MAX_DEPTH} levels`,
            remedy: "move the branch up",
        });
    }
    return faults;
}

const cellRules: readonly CellRule[] = [
    cell => {
        const least = cell.digestMs * MIN_DIGESTS_PER_FRESHNESS_PERIOD;
        return cell.freshMs >= least ? undefined : {
            path: "(root): cell.freshMs",
            found: `freshMs ${cell.freshMs} with digestMs ${cell.digestMs}`,
            allowed:
                `freshMs of at least ${MIN_DIGESTS_PER_FRESHNESS_PERIOD} times digestMs, so that a lost digest does no harm`,
            remedy: `raise cell.freshMs to ${least} or lower cell.digestMs to ${
                Math.floor(cell.freshMs / MIN_DIGESTS_PER_FRESHNESS_PERIOD)
            }`,
        };
    },
    cell =>
        cell.memberTtlMs >= cell.freshMs ? undefined : {
            path: "(root): cell.memberTtlMs",
            found: `memberTtlMs ${cell.memberTtlMs} with freshMs ${cell.freshMs}`,
            allowed: "memberTtlMs of at least freshMs, so that an entry stops acting before it is replaced",
            remedy: `raise cell.memberTtlMs to ${cell.freshMs} or lower cell.freshMs to ${cell.memberTtlMs}`,
        },
    cell =>
        cell.workerLeaseMs >= cell.memberTtlMs ? undefined : {
            path: "(root): cell.workerLeaseMs",
            found: `workerLeaseMs ${cell.workerLeaseMs} with memberTtlMs ${cell.memberTtlMs}`,
            allowed:
                "workerLeaseMs of at least memberTtlMs, so that tasks live on while a dead entry is replaced",
            remedy:
                `raise cell.workerLeaseMs to ${cell.memberTtlMs} or lower cell.memberTtlMs to ${cell.workerLeaseMs}`,
        },
    cell =>
        cell.outageToleranceMs >= cell.memberTtlMs ? undefined : {
            path: "(root): cell.outageToleranceMs",
            found: `outageToleranceMs ${cell.outageToleranceMs} with memberTtlMs ${cell.memberTtlMs}`,
            allowed: "outageToleranceMs of at least memberTtlMs",
            remedy: `raise cell.outageToleranceMs to ${cell.memberTtlMs}`,
        },
];

function checkCell(root: RootNode): readonly SettingsFault[] {
    const cell = buildCell(root);
    return cellRules.flatMap(rule => rule(cell) ?? []);
}

function checkNode(located: LocatedNode): readonly SettingsFault[] {
    const { kind } = located.node;
    const faults = checkKind(located);
    if (kind === undefined) {
        return faults;
    }
    const branch = buildBranch(located, kind);
    return [...faults, ...branchRules.flatMap(rule => rule(branch) ?? [])];
}

function checkKind({ path, node, lineage }: LocatedNode): readonly SettingsFault[] {
    const parent = lineage.slice(0, -1).findLast(({ node: above }) => above.kind !== undefined);
    if (node.kind === undefined || parent === undefined || parent.node.kind === node.kind) {
        return [];
    }
    return [{
        path: `${path}: kind`,
        found: `"${node.kind}" below "${parent.path}", which is "${parent.node.kind}"`,
        allowed: "the kind of the branch above",
        remedy: `use "${parent.node.kind}", or move the branch out of "${parent.path}"`,
    }];
}

const branchRules: readonly BranchRule[] = [
    branch =>
        POLICY_NAMES[branch.kind].includes(branch.policy) ? undefined : {
            path: `${branch.path}: policy`,
            found: `"${branch.policy}" on a branch of kind "${branch.kind}"`,
            allowed: `one of ${POLICY_NAMES[branch.kind].map(name => `"${name}"`).join(", ")}`,
            remedy: `set policy on this branch to "${
                POLICY_NAMES[branch.kind][0]
            }", or remove it here and above`,
        },
    branch =>
        branch.slotsPerWorker <= branch.connectionsPerWorker ? undefined : {
            path: `${branch.path}: slotsPerWorker`,
            found:
                `slotsPerWorker ${branch.slotsPerWorker} with connectionsPerWorker ${branch.connectionsPerWorker}`,
            allowed: "at most connectionsPerWorker, since each request in flight needs a connection",
            remedy:
                `lower slotsPerWorker to ${branch.connectionsPerWorker} or raise connectionsPerWorker to ${branch.slotsPerWorker}`,
        },
    branch =>
        branch.maxRunMs === 0 || branch.maxRunMs >= branch.defaultEstimateMs ? undefined : {
            path: `${branch.path}: maxRunMs`,
            found: `maxRunMs ${branch.maxRunMs} with defaultEstimateMs ${branch.defaultEstimateMs}`,
            allowed: "0, or at least defaultEstimateMs",
            remedy:
                `raise maxRunMs to ${branch.defaultEstimateMs} or lower defaultEstimateMs to ${branch.maxRunMs}`,
        },
    branch =>
        branch.retentionMs >= branch.attemptTimeoutMs ? undefined : {
            path: `${branch.path}: retentionMs`,
            found: `retentionMs ${branch.retentionMs} with attemptTimeoutMs ${branch.attemptTimeoutMs}`,
            allowed: "at least attemptTimeoutMs, so that a key is not forgotten while its request runs",
            remedy: `raise retentionMs to ${branch.attemptTimeoutMs}`,
        },
];

function checkTeams(document: TreeDocument): readonly SettingsFault[] {
    const { teams, branches } = buildSettingsVersion(document);
    const branchesWithTasks = [...branches.values()].filter(branch => branch.kind !== WorkKind.service);
    const teamByTokenHash = new Map<string, string>();
    const faults: SettingsFault[] = [];
    for (const { team, quota, tokenHashes } of teams.values()) {
        if (quota !== undefined) {
            appendAll(faults, checkQuota(team, quota, branchesWithTasks));
        }
        for (const hash of tokenHashes) {
            const otherTeam = teamByTokenHash.get(hash);
            if (otherTeam !== undefined) {
                faults.push({
                    path: `(root): teams.${team}.tokenHashes`,
                    found: `${hash}, which ${
                        otherTeam === team ? "stands here twice" : `is also a token of "${otherTeam}"`
                    }`,
                    allowed: "hashes that no other team has",
                    remedy: `remove the hash, or give "${team}" a token of its own`,
                });
            }
            teamByTokenHash.set(hash, team);
        }
    }
    return faults;
}

const RESOURCE_NAMES: readonly (keyof Resources)[] = ["cpuMillis", "memoryMib", "accelerators"];

/** A quota of 0 excludes the team from the resource; any other must fit the largest default task. */
function checkQuota(
    team: string,
    quota: Resources,
    branches: readonly BranchSettings[],
): readonly SettingsFault[] {
    return RESOURCE_NAMES.flatMap(name => {
        const branch = branches.find(candidate =>
            quota[name] > 0 && quota[name] < candidate.defaultResources[name]
        );
        return branch === undefined ? [] : [{
            path: `(root): teams.${team}.quota.${name}`,
            found: `${quota[name]}, below the default task of "${branch.path}" (${
                branch.defaultResources[name]
            })`,
            allowed: "0, or at least the largest default task",
            remedy: `raise the quota to ${
                computeMax(branches.map(candidate => candidate.defaultResources[name]))
            }, or lower defaultResources.${name} of the branch`,
        }];
    });
}
