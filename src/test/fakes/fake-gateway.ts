/**
 * A scripted entry behind the HTTP interface: it returns the answers that a test sets and records the requests.
 */
import { createHash } from "node:crypto";
import type { Outcome } from "../../common/outcome.js";
import type { HomeReply, HomeRequest } from "../../connection/messages.js";
import type { CallerGateway, ServiceResult, SettingsSource } from "../../process/roles.js";
import type { Caller, JobSpec, JobView, ServiceRequest } from "../../request/work.js";
import { DEFAULT_BRANCH, DEFAULT_CELL } from "../../version/settings.js";
import type { BranchSettings, SettingsVersion } from "../../version/settings.js";
import { FAKE_EPOCH_MS } from "./fake-clock.js";

export const TEAM_TOKEN = "token-of-verona";
export const OTHER_TOKEN = "token-of-bergamo";
export const OPERATOR_TOKEN = "token-of-operators";

export function hashToken(token: string): string {
    return createHash("sha256").update(token).digest("hex");
}

function makeBranch(path: string, kind: BranchSettings["kind"]): [string, BranchSettings] {
    return [path, { ...DEFAULT_BRANCH, path, kind, policy: kind }];
}

export const FAKE_SETTINGS: SettingsVersion = {
    version: 7,
    cell: DEFAULT_CELL,
    teams: new Map(
        [["verona", TEAM_TOKEN], ["bergamo", OTHER_TOKEN]].map(([team = "", token = ""]) => [
            team,
            { team, weight: 1, tokenHashes: [hashToken(token)] },
        ]),
    ),
    branches: new Map([
        makeBranch("services/catalogo-beni", "service"),
        makeBranch("batch/season-rebuild", "batch"),
        makeBranch("gang/river-reach", "gang"),
        makeBranch("short/nozzle-check", "short"),
    ]),
};

export function createFakeSettings(settings: SettingsVersion | undefined = FAKE_SETTINGS): SettingsSource {
    return { getCurrent: () => settings, isCurrent: () => true, subscribe: () => undefined };
}

/** Answers like an entry whose worker returns every body in upper case. */
export class FakeGateway implements CallerGateway {
    refusal: Outcome | undefined;
    readonly serviceRequests: ServiceRequest[] = [];
    readonly homeRequests: HomeRequest[] = [];
    /** Replaces the answer to a service request. */
    serve: ((request: ServiceRequest) => Promise<Outcome> | Outcome) | undefined;
    /** Replaces the answer of a job's owner. */
    answerHome: ((request: HomeRequest) => HomeReply) | undefined;
    private readonly jobs = new Map<string, JobView>();

    findRefusal(): Outcome | undefined {
        return this.refusal;
    }

    async runService(request: ServiceRequest): Promise<ServiceResult> {
        this.serviceRequests.push(request);
        const answer = Buffer.from(Buffer.from(request.body).toString().toUpperCase());
        const done: Outcome = { kind: "done", answer, contentType: request.contentType, workerId: "w1" };
        const outcome = await this.serve?.(request) ?? done;
        return { outcome, attempts: 1, repeated: false, treeVersion: 7 };
    }

    makeJobId(caller: Caller, spec: JobSpec): string {
        return spec.idempotencyKey === undefined ?
            `job-${this.jobs.size + 1}` :
            `${caller.team}-${hashToken(spec.idempotencyKey).slice(0, 8)}`;
    }

    callHome(jobId: string, request: HomeRequest): Promise<HomeReply> {
        this.homeRequests.push(request);
        return Promise.resolve(this.answerHome?.(request) ?? this.buildReply(jobId, request));
    }

    private buildReply(jobId: string, request: HomeRequest): HomeReply {
        const existing = this.jobs.get(jobId);
        if (request.kind === "submitJob") {
            const job = existing ?? makeJobView(jobId, request.caller, request.spec);
            this.jobs.set(jobId, job);
            return { kind: "job", job, created: existing === undefined };
        }
        const team = "team" in request ? request.team : undefined;
        if (existing === undefined || (team !== undefined && team !== existing.caller.team)) {
            return { kind: "notFound" };
        }
        return request.kind === "explainJob" ?
            { kind: "explanation", lines: ["it waits for a worker"] } :
            { kind: "job", job: existing, created: false };
    }
}

export function makeJobView(jobId: string, caller: Caller, spec: JobSpec): JobView {
    return {
        jobId,
        caller,
        spec,
        state: "waiting",
        submittedWallMs: FAKE_EPOCH_MS,
        counts: {
            waiting: spec.tasks,
            running: 0,
            done: 0,
            failed: 0,
            notRun: 0,
            mayHaveRun: 0,
            cancelled: 0,
        },
        tasks: [{ index: 0, state: "waiting", attempts: 0 }],
    };
}
