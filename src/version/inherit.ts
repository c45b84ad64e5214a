/** Inheritance: fills in what a branch does not set from the branches above it, then from the defaults. */
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

/** Origin of a value that no branch sets. */
export const DEFAULT_ORIGIN = "default";

/** A branch with its path and the branches above it, the root first and itself last. */
export interface PlacedNode {
    readonly path: string;
    readonly node: TreeNode;
    readonly line: readonly { readonly path: string; readonly node: TreeNode; }[];
}

/**
 * Lists all branches, parents before children; the root comes first with the empty path.
 * @param root - The root of the tree.
 */
export function listNodes(root: RootNode): readonly PlacedNode[] {
    const nodes: PlacedNode[] = [];
    function visit(path: string, node: TreeNode, above: PlacedNode["line"]): void {
        const line = [...above, { path, node }];
        nodes.push({ path, node, line });
        for (const [name, child] of Object.entries(node.children ?? {})) {
            visit(path === "" ? name : `${path}/${name}`, child, line);
        }
    }
    visit("", root, []);
    return nodes;
}

/**
 * Builds the settings that the rest of the system reads.
 * @param document - A checked tree.
 */
export function buildSettingsVersion(document: TreeDocument): SettingsVersion {
    const branches = new Map<string, BranchSettings>();
    for (const placed of listNodes(document.root)) {
        if (placed.node.kind !== undefined) {
            branches.set(placed.path, buildBranch(placed, placed.node.kind));
        }
    }
    return {
        version: document.version,
        cell: buildCell(document.root),
        teams: buildTeams(document.root),
        branches,
    };
}

/**
 * Builds the settings of the cell with defaults filled in.
 * @param root - The root of the tree.
 */
export function buildCell(root: RootNode): CellSettings {
    return { ...DEFAULT_CELL, ...root.cell };
}

/**
 * Builds the settings of one branch.
 * @param placed - The branch and the branches above it.
 * @param kind - Kind of work, which decides the default policy.
 */
export function buildBranch(placed: PlacedNode, kind: WorkKind): BranchSettings {
    const settings = {
        ...DEFAULT_BRANCH,
        policy: POLICY_NAMES[kind][0],
        path: placed.path,
        kind,
    };
    for (const { node } of placed.line) {
        const { defaultResources, ...own } = node.settings ?? {};
        Object.assign(settings, own);
        settings.defaultResources = { ...settings.defaultResources, ...defaultResources };
    }
    return settings;
}

function buildTeams(root: RootNode): ReadonlyMap<string, TeamSettings> {
    const teams = new Map<string, TeamSettings>();
    for (const [team, own] of Object.entries(root.teams ?? {})) {
        teams.set(team, {
            team,
            weight: own.weight ?? 1,
            quota: own.quota,
            tokenHashes: own.tokenHashes ?? [],
        });
    }
    return teams;
}

/**
 * Lists the settings in force for a branch and where each comes from.
 * @param document - A checked tree.
 * @param path - Path of the branch; the empty string is the root.
 * @returns The values, or undefined if there is no such branch.
 */
export function getEffective(document: TreeDocument, path: string): readonly EffectiveValue[] | undefined {
    const placed = listNodes(document.root).find(candidate => candidate.path === path);
    if (placed === undefined) {
        return undefined;
    }
    const values = new Map<string, EffectiveValue>();
    const defaults = placed.node.kind === undefined ?
        DEFAULT_BRANCH :
        { ...DEFAULT_BRANCH, policy: POLICY_NAMES[placed.node.kind][0] };
    setFields(values, defaults, DEFAULT_ORIGIN);
    for (const { path: origin, node } of placed.line) {
        setFields(values, node.settings ?? {}, origin);
    }
    if (placed.node.kind !== undefined) {
        values.set("kind", { field: "kind", value: placed.node.kind, origin: path });
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
 * Lists the leaves of an object under dotted names.
 * @param value - An object of settings.
 * @param prefix - Put before each name.
 */
export function listLeaves(value: object, prefix = ""): readonly (readonly [string, unknown])[] {
    return Object.entries(value).flatMap(([key, part]: [string, unknown]) => {
        const name = `${prefix}${key}`;
        return isPlainObject(part) ? listLeaves(part, `${name}.`) : [[name, part] as const];
    });
}

/**
 * Tells whether a value is an object with named parts.
 * @param value - Any JSON value.
 */
export function isPlainObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}
