/** Differences between trees: as the changes that turn one into the other, and as effects on branches. */
import { isDeepStrictEqual } from "node:util";
import type { DryRunReport, FieldChange } from "../process/operator-gateway.js";
import { buildSettingsVersion, listLeaves, listNodes } from "./inherit.js";
import type { BranchSettings } from "./settings.js";
import type { RootNode, TreeDocument } from "./tree-schema.js";

/**
 * Lists the changes that turn one tree into another.
 */
export function compareTrees(before: RootNode, after: RootNode): readonly FieldChange[] {
    const left = listOwnFields(before);
    const right = listOwnFields(after);
    const changes: FieldChange[] = [];
    for (const [key, { path, field, value }] of right) {
        if (!isDeepStrictEqual(left.get(key)?.value, value)) {
            changes.push({ path, field, value });
        }
    }
    for (const [key, { path, field }] of left) {
        if (!right.has(key)) {
            changes.push({ path, field });
        }
    }
    return changes;
}

interface OwnField {
    readonly path: string;
    readonly field: string;
    readonly value: unknown;
}

function listOwnFields(root: RootNode): ReadonlyMap<string, OwnField> {
    const fields = new Map<string, OwnField>();
    function add(path: string, values: object): void {
        for (const [field, value] of listLeaves(values)) {
            fields.set(`${path}: ${field}`, { path, field, value });
        }
    }
    for (const { path, node } of listNodes(root)) {
        add(path, node.kind === undefined ? {} : { kind: node.kind });
        add(path, node.settings ?? {});
    }
    add("", root.cell === undefined ? {} : { cell: root.cell });
    // Each team is compared as one field: a quota is valid only as a whole, and a team may have no settings.
    for (const [team, value] of Object.entries(root.teams ?? {})) {
        fields.set(`: teams.${team}`, { path: "", field: `teams.${team}`, value });
    }
    return fields;
}

type BranchChange = DryRunReport["changedBranches"][number];

/**
 * Lists the branches whose effective settings differ between two trees.
 * @param describeEffect - Describes what the change means for work that waits in the branch.
 */
export function compareBranches(
    before: TreeDocument,
    after: TreeDocument,
    describeEffect: (
        path: string,
        before: BranchSettings | undefined,
        after: BranchSettings | undefined,
    ) => string,
): readonly BranchChange[] {
    const left = buildSettingsVersion(before).branches;
    const right = buildSettingsVersion(after).branches;
    const paths = new Set([...left.keys(), ...right.keys()]);
    return [...paths].flatMap(path => {
        const fields = compareFields(left.get(path), right.get(path));
        const effect = describeEffect(path, left.get(path), right.get(path));
        return fields.length === 0 ? [] : [{ path, fields, effect }];
    });
}

function compareFields(
    before: BranchSettings | undefined,
    after: BranchSettings | undefined,
): BranchChange["fields"] {
    const left = new Map(listLeaves(before ?? {}));
    const right = new Map(listLeaves(after ?? {}));
    const names = new Set([...left.keys(), ...right.keys()]);
    return [...names]
        .filter(field => left.get(field) !== right.get(field))
        .map(field => ({ field, before: left.get(field), after: right.get(field) }));
}
