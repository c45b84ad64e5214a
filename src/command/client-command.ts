/** Base class of the commands that call an entry over HTTP. */
import { Option, UsageError } from "clipanion";
import type { SettingsFault } from "../process/operator-gateway.js";
import { BaseCommand, CommandFailure } from "./base-command.js";
import { EntryClient, type EntryReply, parseReply } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatFaults } from "./format.js";

const DEFAULT_ENTRY_URL = "http://127.0.0.1:8080";

/** Body of an error response. */
interface ErrorBody {
    readonly message?: string;
    readonly remedy?: string;
    readonly faults?: readonly SettingsFault[];
}

/** Base class of commands that call an entry. */
export abstract class ClientCommand extends BaseCommand {
    entry = Option.String("--entry", {
        env: "CACTUSRACK_ENTRY",
        description: `Address of an entry; defaults to ${DEFAULT_ENTRY_URL}`,
    });

    token = Option.String("--token", {
        env: "CACTUSRACK_TOKEN",
        description:
            "Token of a team or operator; prefer the environment variable, which process lists do not show",
    });

    /** Runs the command with a client, which is closed afterwards. */
    protected abstract runWith(client: EntryClient): Promise<ExitCode>;

    protected override async run(): Promise<ExitCode> {
        const client = new EntryClient({ url: checkUrl(this.entry ?? DEFAULT_ENTRY_URL), token: this.token });
        try {
            return await this.runWith(client);
        }
        finally {
            await client.close();
        }
    }

    /**
     * Sends a request and parses the JSON response.
     * @param path - Path and query.
     * @param body - Sent as JSON.
     * @param headers - Additional headers.
     */
    protected async query(
        client: EntryClient,
        method: "GET" | "POST",
        path: string,
        body?: unknown,
        headers?: Readonly<Record<string, string>>,
    ): Promise<{ readonly status: number; readonly value: unknown; }> {
        const reply = await this.send(() => client.request(method, path, body, headers));
        return { status: reply.status, value: parseReply(reply) };
    }

    /** Like {@link query}, but throws a {@link CommandFailure} on an error response. */
    protected async require(
        client: EntryClient,
        method: "GET" | "POST",
        path: string,
        body?: unknown,
        headers?: Readonly<Record<string, string>>,
    ): Promise<unknown> {
        const { status, value } = await this.query(client, method, path, body, headers);
        if (status >= 400) {
            throw buildFailure(status, value);
        }
        return value;
    }

    private async send(request: () => Promise<EntryReply>): Promise<EntryReply> {
        try {
            return await request();
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            throw new CommandFailure(
                ExitCode.failed,
                `no answer from ${
                    this.entry ?? DEFAULT_ENTRY_URL
                }: ${reason}; check --entry, or try another entry`,
            );
        }
    }
}

const STATUS_BAD_REQUEST = 400;

/** Builds the failure of a command from the HTTP status and JSON body of an entry's error response. */
export function buildFailure(status: number, value: unknown): CommandFailure {
    const { message, remedy, faults = [] } = value as ErrorBody;
    const lines = [
        message ?? `the entry answered with HTTP ${status}`,
        ...(remedy === undefined ? [] : [`remedy: ${remedy}`]),
        ...(faults.length === 0 ? [] : [formatFaults(faults)]),
    ];
    const code = status === STATUS_BAD_REQUEST ? ExitCode.usage : ExitCode.failed;
    return new CommandFailure(code, lines.join("\n"), { status, answer: value });
}

function checkUrl(url: string): string {
    if (!URL.canParse(url) || !/^https?:$/.test(new URL(url).protocol)) {
        throw new UsageError(
            `--entry must be an address such as ${DEFAULT_ENTRY_URL}, not ${JSON.stringify(url)}`,
        );
    }
    return url;
}
