/** Base class of the commands that read or edit the settings tree. */
import { UsageError } from "clipanion";
import { randomUUID } from "node:crypto";
import type { EditReply, FieldChange, TreeEdit, TreeView } from "../process/operator-gateway.js";
import { CommandFailure } from "./base-command.js";
import { buildFailure, ClientCommand } from "./client-command.js";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatConflicts, formatFaults } from "./format.js";

/** URL path of the tree in an entry's operator API. */
export const TREE_PATH = "/v1/admin/tree";

/** Value that removes a branch's own setting, so that the branch inherits it. */
const INHERIT_KEYWORD = "inherit";

/** Base class of commands that read or edit the tree. */
export abstract class TreeCommand extends ClientCommand {
    /** Reads the tree in force. */
    protected async readTree(client: EntryClient): Promise<TreeView> {
        return await this.require(client, "GET", TREE_PATH) as TreeView;
    }

    /**
     * Builds an edit.
     * @param baseVersion - Version of the tree that the changes are based on.
     * @param editId - Id of the edit; generated if undefined.
     */
    protected buildEdit(
        changes: readonly FieldChange[],
        baseVersion: number,
        editId: string | undefined,
    ): Omit<TreeEdit, "author"> {
        return { editId: editId ?? randomUUID(), baseVersion, changes: changes.map(convertChange) };
    }

    /** Submits an edit and prints its result. */
    protected async submitEdit(client: EntryClient, edit: Omit<TreeEdit, "author">): Promise<ExitCode> {
        const { status, value } = await this.query(client, "POST", `${TREE_PATH}/edits`, edit);
        const reply = value as EditReply;
        const format = editFormatters[reply.kind] as ((reply: EditReply) => string) | undefined;
        if (format === undefined) {
            throw buildFailure(status, value);
        }
        this.print(`${format(reply)}${reply.kind === "uncertain" ? `\nedit id: ${edit.editId}` : ""}`, {
            ...reply,
            editId: edit.editId,
        });
        return editExitCodes[reply.kind];
    }
}

/** Omits an undefined value, since JSON has no undefined: a change without a value removes the field. */
function convertChange({ path, field, value }: FieldChange): FieldChange {
    return value === undefined ? { path, field } : { path, field, value };
}

type ReplyOf<Kind extends EditReply["kind"]> = Extract<EditReply, { readonly kind: Kind; }>;

const editFormatters: { readonly [Kind in EditReply["kind"]]: (reply: ReplyOf<Kind>) => string; } = {
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

const editExitCodes: Readonly<Record<EditReply["kind"], ExitCode>> = {
    accepted: ExitCode.success,
    written: ExitCode.success,
    conflict: ExitCode.failed,
    invalid: ExitCode.usage,
    unavailable: ExitCode.failed,
    uncertain: ExitCode.failed,
};

/**
 * Parses changes given on the command line.
 * @param texts - For example `batch/rebuild:queueLimit=20` or `batch/rebuild:queueLimit=inherit`.
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
            } is not a change: write BRANCH:FIELD=VALUE, such as batch/rebuild:queueLimit=20; ` +
                "the root's path is empty, as in :cell.freshMs=3000",
        );
    }
    return { path, field, value: value === INHERIT_KEYWORD ? undefined : parseValue(value) };
}

/** Parses a value as JSON. Other text is taken as a string, so that strings need no quotes in a shell. */
function parseValue(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return text;
    }
}

/** Ends the command with the faults of an invalid tree file. */
export function throwFaults(faults: Parameters<typeof formatFaults>[0]): never {
    throw new CommandFailure(ExitCode.usage, formatFaults(faults), { faults });
}
