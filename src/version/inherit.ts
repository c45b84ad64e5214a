/** Inheritance: a field that a branch does not set comes from its nearest ancestor, then from the defaults. */
import type { EffectiveValue } from "../process/operator-gateway.js";
import type { WorkKind } from "../request/work.js";
import { POLICY_NAMES } from "./policies.js";
import {
    type BranchSettings,
    type CellSettings,
    DEFAULT_BRANCH,
    DEFAULT_CELL,
    type SettingsVersion,
    type TeamSettings,
} from "./settings.js";
import type { RootNode, TreeDocument, TreeNode } from "./tree-schema.js";

/** Origin reported for a value that no branch sets. */
export const DEFAULT_ORIGIN = "default";

/** A branch with its path and its lineage: the branches from the root down to itself. */
export interface LocatedNode {
    readonly path: string;
    readonly node: TreeNode;
    readonly lineage: readonly { readonly path: string; readonly node: TreeNode; }[];
}

/**
 * Lists all branches, parents before children; the root comes first with the empty path.
 */
export function listNodes(root: RootNode): readonly LocatedNode[] {
    const nodes: LocatedNode[] = [];
    function visit(path: string, node: TreeNode, ancestors: LocatedNode["lineage"]): void {
        const lineage = [...ancestors, { path, node }];
        nodes.push({ path, node, lineage });
        for (const [name, child] of Object.entries(node.children ?? {})) {
            visit(path === "" ? name : `${path}/${name}`, child, lineage);
        }
    }
    visit("", root, []);
    return nodes;
}

/**
 * Builds the complete settings of every branch and team from a tree.
 * @param document - A valid tree.
 */
export function buildSettingsVersion(document: TreeDocument): SettingsVersion {
    const branches = new Map<string, BranchSettings>();
    for (const located of listNodes(document.root)) {
        if (located.node.kind !== undefined) {
            branches.set(located.path, buildBranch(located, located.node.kind));
        }
    }
    return {
        version: document.version,
        cell: buildCell(document.root),
        teams: buildTeams(document.root),
        branches,
    };
}

/** Builds the settings of the cell with defaults filled in. */
export function buildCell(root: RootNode): CellSettings {
    return { ...DEFAULT_CELL, ...root.cell };
}

/**
 * Builds the settings of one branch with inherited values and defaults filled in.
 * @param kind - Kind of work, which determines the default policy.
 */
export function buildBranch(located: LocatedNode, kind: WorkKind): BranchSettings {
    const settings = {
        ...DEFAULT_BRANCH,
        policy: POLICY_NAMES[kind][0],
        path: located.path,
        kind,
    };
    for (const { node } of located.lineage) {
        const { defaultResources, ...own } = node.settings ?? {};
        Object.assign(settings, own);
        settings.defaultResources = { ...settings.defaultResources, ...defaultResources };
    }
    return settings;
}

function buildTeams(root: RootNode): ReadonlyMap<string, TeamSettings> {
    const teams = new Map<string, TeamSettings>();
    for (const [team, ownSettings] of Object.entries(root.teams ?? {})) {
        teams.set(team, {
            team,
            weight: ownSettings.weight ?? 1,
            quota: ownSettings.quota,
            tokenHashes: ownSettings.tokenHashes ?? [],
        });
    }
    return teams;
}

/**
 * Lists the effective settings of a branch with the origin of each value.
 * @param document - A valid tree.
 * @param path - Path of the branch; the empty string is the root.
 * @returns Undefined if there is no such branch.
 */
export function getEffective(document: TreeDocument, path: string): readonly EffectiveValue[] | undefined {
    const located = listNodes(document.root).find(candidate => candidate.path === path);
    if (located === undefined) {
        return undefined;
    }
    const values = new Map<string, EffectiveValue>();
    const defaults = located.node.kind === undefined ?
        DEFAULT_BRANCH :
        { ...DEFAULT_BRANCH, policy: POLICY_NAMES[located.node.kind][0] };
    setFields(values, defaults, DEFAULT_ORIGIN);
    for (const { path: origin, node } of located.lineage) {
        setFields(values, node.settings ?? {}, origin);
    }
    if (located.node.kind !== undefined) {
        values.set("kind", { field: "kind", value: located.node.kind, origin: path });
    }
    if (path === "") {
        setFields(values, { cell: DEFAULT_CELL }, DEFAULT_ORIGIN);
        setFields(values, { cell: document.root.cell ?? {} }, "");
    }
    return [...values.values()];
}

function setFields(values: Map<string, EffectiveValue>, settings: object, origin: string): void {
    for (const [field, value] of listLeaves(settings)) {
        values.set(field, { field, value, origin });
    }
}

/**
 * Flattens an object into pairs of dotted name and leaf value; arrays count as leaves.
 * @param prefix - Prepended to each name.
 */
export function listLeaves(value: object, prefix = ""): readonly (readonly [string, unknown])[] {
    return Object.entries(value).flatMap(([key, part]: [string, unknown]) => {
        const name = `${prefix}${key}`;
        return isPlainObject(part) ? listLeaves(part, `${name}.`) : [[name, part] as const];
    });
}

/** Tells whether a JSON value is an object, as opposed to an array, a primitive or null. */
export function isPlainObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}
