/**
 * Records a session of HTTP requests against entries in this process, as text to compare with a golden file.
 *
 * @remarks Sockets are real but the clock is fake: it advances only while an entry works on a request, so that
 * socket speed does not affect the record. Ids, chosen workers and timestamps are replaced by placeholders.
 */
import assert from "node:assert/strict";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createRandom } from "../../common/random.js";
import { HttpServer } from "../../connection/http/index.js";
import type { FieldChange, OperatorGateway } from "../../process/operator-gateway.js";
import type { CallerGateway } from "../../process/roles.js";
import { FakeCell } from "../fakes/fake-cell.js";
import { flushMicrotasks } from "../fakes/fake-clock.js";
import { hashToken, OPERATOR_TOKEN, OTHER_TOKEN, TEAM_TOKEN } from "../fakes/fake-gateway.js";

/** Environment variable that makes the tests rewrite the golden files. */
const UPDATE_VARIABLE = "UPDATE_GOLDEN";
const FOLDER = "src/test/golden";
const STEP_MS = 5;
const RECORDED_HEADERS = [
    "content-type",
    "location",
    "retry-after",
    "x-repeated",
    "x-attempts",
    "www-authenticate",
];

export const TEAM = TEAM_TOKEN;
export const OTHER_TEAM = OTHER_TOKEN;
export const OPERATOR = OPERATOR_TOKEN;

const CHANGES: readonly FieldChange[] = [
    { path: "", field: "teams.verona.tokenHashes", value: [hashToken(TEAM_TOKEN)] },
    { path: "", field: "teams.bergamo.tokenHashes", value: [hashToken(OTHER_TOKEN)] },
    { path: "services", field: "kind", value: "service" },
    { path: "services/catalogo-beni", field: "kind", value: "service" },
    { path: "batch", field: "kind", value: "batch" },
    { path: "batch/season-rebuild", field: "kind", value: "batch" },
    { path: "batch/impeller-sweep", field: "kind", value: "batch" },
    { path: "gang", field: "kind", value: "gang" },
    { path: "gang/river-reach", field: "kind", value: "gang" },
    { path: "short", field: "kind", value: "short" },
    { path: "short/nozzle-check", field: "kind", value: "short" },
];

/** A request of a session. */
export interface SessionRequest {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly token?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    /** Zero-based index of the entry that receives the request; defaults to 0. */
    readonly entry?: number;
}

/** The parts of a response that later requests of a session use. */
export interface SessionReply {
    readonly status: number;
    readonly location: string;
    readonly value: unknown;
}

/** A cell served over HTTP, and the record of the requests and responses. */
export class Session {
    readonly cell = new FakeCell({ changes: CHANGES });
    private readonly servers: HttpServer[] = [];
    private readonly lines: string[] = [];
    private readonly placeholders = new Map<string, string>();
    /** Number of calls to entries in flight. */
    private pendingCalls = 0;

    async open(): Promise<void> {
        await this.cell.start();
        for (const member of this.cell.members) {
            const server = new HttpServer({
                host: "127.0.0.1",
                port: 0,
                random: createRandom(this.servers.length + 1),
                clock: member.clock,
                log: member.log,
                metrics: member.metrics,
                callers: this.trackCallers(member.entry.callers),
                operators: this.trackOperators(member.entry.operators),
                settings: member.entry.settings,
                operatorTokens: [{ name: "anna", sha256: hashToken(OPERATOR_TOKEN) }],
            });
            await server.open();
            this.servers.push(server);
        }
    }

    async close(): Promise<void> {
        await Promise.all(this.servers.map(server => server.close(0)));
        this.cell.members.forEach(member => this.cell.kill(member));
    }

    /** Adds a comment line to the record. */
    write(line: string): void {
        this.lines.push(`# ${line}`, "");
    }

    /** Sends a request, advances the clock until the response arrives, and records both. */
    async send(request: SessionRequest): Promise<SessionReply> {
        const server = this.servers[request.entry ?? 0];
        assert.ok(server);
        const body = request.body === undefined ? undefined : JSON.stringify(request.body);
        const authorization = request.token === undefined ?
            undefined :
            { authorization: `Bearer ${request.token}` };
        let settled = false;
        const answered = fetch(`http://127.0.0.1:${server.port}${request.path}`, {
            method: request.method,
            headers: { ...authorization, ...request.headers, connection: "close" },
            body,
        }).finally(() => {
            settled = true;
        });
        while (!settled) {
            await (this.pendingCalls > 0 ? this.cell.clock.step(STEP_MS) : flushMicrotasks());
        }
        const response = await answered;
        const text = await response.text();
        this.recordExchange(request, response, text);
        const isJson = response.headers.get("content-type") === "application/json";
        const location = response.headers.get("location") ?? "";
        return { status: response.status, location, value: isJson ? JSON.parse(text) : text };
    }

    /** Compares the record with its golden file, or rewrites the file if the environment variable is set. */
    check(name: string): void {
        const path = `${FOLDER}/${name}.golden`;
        const text = `${this.lines.join("\n").trimEnd()}\n`;
        if (process.env[UPDATE_VARIABLE] !== undefined) {
            writeFileSync(path, text);
            return;
        }
        assert.ok(
            existsSync(path),
            `${path} is missing: run the tests with ${UPDATE_VARIABLE}=1 and read it`,
        );
        assert.equal(text, readFileSync(path, "utf8"));
    }

    private trackCallers(callers: CallerGateway): CallerGateway {
        return {
            findRefusal: () => callers.findRefusal(),
            makeJobId: (caller, spec) => callers.makeJobId(caller, spec),
            runService: request => this.track(callers.runService(request)),
            callHome: (...call) => this.track(callers.callHome(...call)),
        };
    }

    private trackOperators(operators: OperatorGateway): OperatorGateway {
        return { ...operators, editTree: edit => this.track(operators.editTree(edit)) };
    }

    private async track<Value>(call: Promise<Value>): Promise<Value> {
        this.pendingCalls += 1;
        return await call.finally(() => {
            this.pendingCalls -= 1;
        });
    }

    private recordExchange(request: SessionRequest, response: Response, text: string): void {
        this.lines.push(
            `> ${request.method} ${this.replaceVariableParts(request.path)} (entry ${request.entry ?? 0})`,
        );
        for (const [name, value] of Object.entries(request.headers ?? {})) {
            this.lines.push(`> ${name}: ${value}`);
        }
        this.lines.push(...request.body === undefined ? [] : [JSON.stringify(request.body)]);
        this.lines.push(`< ${response.status}`);
        for (const name of RECORDED_HEADERS) {
            const value = response.headers.get(name) ?? "";
            this.lines.push(
                ...response.headers.has(name) ? [`< ${name}: ${this.replaceVariableParts(value)}`] : [],
            );
        }
        this.lines.push(this.replaceVariableParts(formatBody(response, text)), "");
    }

    private replaceVariableParts(text: string): string {
        for (const [, id = ""] of text.matchAll(/(?:\/v1\/jobs\/|"jobId": ")([^/?"\s]+)/g)) {
            this.placeholders.set(id, this.placeholders.get(id) ?? `<job-${this.placeholders.size + 1}>`);
        }
        const named = [...this.placeholders].reduce(
            (result, [id, name]) => result.replaceAll(id, name),
            text,
        );
        return named
            .replace(/worker-\d+/g, "<worker>")
            .replace(/rack-\d+/g, "<rack>")
            .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, "<time>")
            .replace(/"wallMs": \d+/g, '"wallMs": <time>');
    }
}

function formatBody(response: Response, text: string): string {
    return response.headers.get("content-type") === "application/json" && text.startsWith("{") ?
        JSON.stringify(JSON.parse(text), undefined, 2) :
        text;
}
