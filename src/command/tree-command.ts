/** What the commands of the settings tree share. */
import { UsageError } from "clipanion";
import { randomUUID } from "node:crypto";
import type { EditReply, FieldChange, TreeEdit, TreeView } from "../process/operator-gateway.js";
import { CommandFailure } from "./base-command.js";
import { buildFailure, ClientCommand } from "./client-command.js";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatConflicts, formatFaults } from "./format.js";

/** Path of the tree in an entry's interface. */
export const TREE_PATH = "/v1/admin/tree";

/** Words that stand for the removal of a branch's own value. */
const INHERIT = "inherit";

/** A command that reads or edits the tree. */
export abstract class TreeCommand extends ClientCommand {
    /** Reads the tree in force. */
    protected async readTree(client: EntryClient): Promise<TreeView> {
        return await this.require(client, "GET", TREE_PATH) as TreeView;
    }

    /**
     * Builds an edit.
     * @param changes - What it changes.
     * @param baseVersion - Version that it is made from.
     * @param editId - Its id; a new one if undefined.
     */
    protected buildEdit(
        changes: readonly FieldChange[],
        baseVersion: number,
        editId: string | undefined,
    ): Omit<TreeEdit, "author"> {
        return { editId: editId ?? randomUUID(), baseVersion, changes: changes.map(convertChange) };
    }

    /** Hands an edit in and prints its result. */
    protected async submitEdit(client: EntryClient, edit: Omit<TreeEdit, "author">): Promise<ExitCode> {
        const { status, value } = await this.query(client, "POST", `${TREE_PATH}/edits`, edit);
        const reply = value as EditReply;
        const format = editFormats[reply.kind] as ((reply: EditReply) => string) | undefined;
        if (format === undefined) {
            throw buildFailure(status, value);
        }
        this.print(`${format(reply)}${reply.kind === "uncertain" ? `\nedit id: ${edit.editId}` : ""}`, {
            ...reply,
            editId: edit.editId,
        });
        return editCodes[reply.kind];
    }
}

/** JSON has no undefined: a change without a value is one that removes. */
function convertChange({ path, field, value }: FieldChange): FieldChange {
    return value === undefined ? { path, field } : { path, field, value };
}

type ReplyOf<Kind extends EditReply["kind"]> = Extract<EditReply, { readonly kind: Kind; }>;

const editFormats: { readonly [Kind in EditReply["kind"]]: (reply: ReplyOf<Kind>) => string; } = {
    accepted: ({ version, inForce }) =>
        `accepted: version ${version} is in force on all ${inForce.length} entries`,
    written: ({ version, inForce, missing }) =>
        [
            `written: version ${version} is decided and cannot revert; in force on ${inForce.length} entries`,
            `not yet confirmed by ${missing.join(", ")}`,
            "remedy: send the edit again with the same id to learn when it is in force everywhere",
        ].join("\n"),
    conflict: ({ version, conflicts }) =>
        [
            formatConflicts(conflicts),
            `remedy: decide between the values, and make the edit again from version ${version}`,
        ].join("\n"),
    invalid: ({ faults }) => formatFaults(faults),
    unavailable: ({ message, retryAfterMs }) => `${message} (in ${retryAfterMs} ms or later)`,
    uncertain: ({ message, retryAfterMs }) => `${message} (in ${retryAfterMs} ms or later)`,
};

const editCodes: Readonly<Record<EditReply["kind"], ExitCode>> = {
    accepted: ExitCode.fine,
    written: ExitCode.fine,
    conflict: ExitCode.failed,
    invalid: ExitCode.usage,
    unavailable: ExitCode.failed,
    uncertain: ExitCode.failed,
};

/**
 * Parses changes as they are written on the command line.
 * @param texts - Such as `batch/rebuild:queueLimit=20` or `batch/rebuild:queueLimit=inherit`.
 */
export function parseChanges(texts: readonly string[]): readonly FieldChange[] {
    return texts.map(parseChange);
}

const CHANGE_PATTERN = /^([^:=]*):([^:=]+)=(.*)$/s;

function parseChange(text: string): FieldChange {
    const [, path, field, value] = CHANGE_PATTERN.exec(text) ?? [];
    if (path === undefined || field === undefined || value === undefined) {
        throw new UsageError(
            `${
                JSON.stringify(text)
            } is no change: write BRANCH:FIELD=VALUE, such as batch/rebuild:queueLimit=20; ` +
                "the root's path is empty, as in :cell.freshMs=3000",
        );
    }
    return { path, field, value: value === INHERIT ? undefined : parseValue(value) };
}

/** A value is JSON; a word that is no JSON stands for itself, so that words need no quotes in a shell. */
function parseValue(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return text;
    }
}

/**
 * Ends the command unless a tree file is valid.
 * @param faults - Its faults.
 */
export function throwFaults(faults: Parameters<typeof formatFaults>[0]): never {
    throw new CommandFailure(ExitCode.usage, formatFaults(faults), { faults });
}
