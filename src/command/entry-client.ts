/** Client of an entry's HTTP interface. */
import { Pool } from "undici";
import { CommandFailure } from "./base-command.js";
import { ExitCode } from "./exit-code.js";

const HEADERS_TIMEOUT_MS = 90_000;
const CONNECT_TIMEOUT_MS = 5_000;

/** Response of an entry. */
export interface EntryReply {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly text: string;
}

/** Address of an entry and the token to authenticate with. */
export interface EntryTarget {
    /** `http://host:port`. */
    readonly url: string;
    readonly token: string | undefined;
}

/** A client of one entry. */
export class EntryClient {
    private readonly pool: Pool;

    constructor(private readonly target: EntryTarget) {
        this.pool = new Pool(target.url, {
            connections: 8,
            connect: { timeout: CONNECT_TIMEOUT_MS },
            headersTimeout: HEADERS_TIMEOUT_MS,
            bodyTimeout: HEADERS_TIMEOUT_MS,
        });
    }

    /**
     * Sends a request and reads the whole response.
     * @param path - Path and query.
     * @param body - Sent as JSON, or unchanged if it is a string.
     * @param headers - Additional headers.
     */
    async request(
        method: "GET" | "POST",
        path: string,
        body?: unknown,
        headers: Readonly<Record<string, string>> = {},
    ): Promise<EntryReply> {
        const response = await this.pool.request({
            method,
            path,
            headers: { ...this.buildHeaders(body), ...headers },
            body: body === undefined || typeof body === "string" ? body : JSON.stringify(body),
        });
        const text = await response.body.text();
        const received = Object.entries(response.headers).map(([name, value]) => [name, String(value ?? "")]);
        return { status: response.statusCode, headers: Object.fromEntries(received), text };
    }

    /** Closes all connections; pending requests fail. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }

    private buildHeaders(body: unknown): Record<string, string> {
        return {
            ...(this.target.token === undefined ? {} : { authorization: `Bearer ${this.target.token}` }),
            ...(body === undefined ? {} : { "content-type": "application/json" }),
        };
    }
}

/** Parses the JSON body of a response; throws {@link CommandFailure} if it is not JSON. */
export function parseReply(reply: EntryReply): unknown {
    try {
        return JSON.parse(reply.text);
    }
    catch {
        throw new CommandFailure(
            ExitCode.failed,
            `the response (HTTP ${reply.status}) is not JSON: check that --entry is the address of a cactusrack entry`,
        );
    }
}
