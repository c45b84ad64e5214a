/** `job submit`: submits a job. */
import { Command, Option, UsageError } from "clipanion";
import { randomUUID } from "node:crypto";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatJob, JobCommand, type JobView } from "./job-command.js";

const MAX_WAIT_MS = 60_000;

/** Submits a job that is described by a file or by options. */
export class JobSubmitCommand extends JobCommand {
    static override paths = [["job", "submit"]];
    static override usage = Command.Usage({
        category: "Jobs",
        description: "submit a job",
        details: `
            The job is accepted once the answer says so; submitting it again with the same \`--key\` returns the same
            job. Without \`--key\` a new key is generated and printed, so that the job can be submitted again if the
            answer is lost.
        `,
        examples: [
            [
                "Submit a batch of ten tasks",
                "$0 job submit --branch batch/season-rebuild --kind batch --tasks 10",
            ],
            [
                "Submit the job that a file describes, and wait for its end",
                "$0 job submit --file job.json --wait",
            ],
        ],
    });

    file = Option.String("--file", { description: "JSON file with the job, in the format of POST /v1/jobs" });
    branch = Option.String("--branch", { description: "Branch of the settings tree" });
    kind = Option.String("--kind", { description: "batch, gang or short" });
    tasks = Option.String("--tasks", { description: "Number of tasks; defaults to 1" });
    payload = Option.String("--payload", { description: "Payload passed to the workers" });
    repeatable = Option.Boolean("--repeatable", false, {
        description: "Tasks may be run again if their worker is lost",
    });
    urgent = Option.Boolean("--urgent", false, {
        description: "May preempt running tasks that are preemptible",
    });
    key = Option.String("--key", { description: "Idempotency key" });
    wait = Option.Boolean("--wait", false, { description: "Wait for the end of the job" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        const spec = await this.buildSpec();
        const key = this.key ?? randomUUID();
        if (!this.json) {
            this.context.stderr.write(`idempotency key ${key}\n`);
        }
        const headers = { "idempotency-key": key };
        let job = await this.require(client, "POST", "/v1/jobs", spec, headers) as JobView;
        while (this.wait && job.state !== "ended") {
            job = await this.require(
                client,
                "GET",
                `${this.getJobPath(job.jobId)}?waitMs=${MAX_WAIT_MS}`,
            ) as JobView;
        }
        this.print(formatJob(job), job);
        const isDone = job.state !== "ended" || job.counts["done"] === job.spec.tasks;
        return isDone ? ExitCode.success : ExitCode.failed;
    }

    private async buildSpec(): Promise<unknown> {
        if (this.file !== undefined) {
            return parseSpec(await this.readTextFile(this.file), this.file);
        }
        if (this.branch === undefined || this.kind === undefined) {
            throw new UsageError("specify --branch and --kind, or a file with --file");
        }
        return {
            kind: this.kind,
            branch: this.branch,
            tasks: this.tasks === undefined ? undefined : Number(this.tasks),
            payload: this.payload,
            repeatable: this.repeatable,
            urgent: this.urgent,
        };
    }
}

function parseSpec(text: string, file: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch (error) {
        throw new UsageError(
            `${file} is not JSON: ${error instanceof Error ? error.message : String(error)}`,
        );
    }
}
