/** `job submit`: hands a job in. */
import { Command, Option, UsageError } from "clipanion";
import { randomUUID } from "node:crypto";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatJob, JobCommand, type ShownJob } from "./job-command.js";

const MAX_WAIT_MS = 60_000;

/** Hands in a job described by a file or by options. */
export class JobSubmitCommand extends JobCommand {
    static override paths = [["job", "submit"]];
    static override usage = Command.Usage({
        category: "Jobs",
        description: "hand in a job",
        details: `
            The job is accepted once the answer says so; handing it in again with the same \`--key\` returns the same
            job. Without \`--key\` a new one is made and printed, so that a lost answer can be settled.
        `,
        examples: [
            [
                "Hand in a batch of ten tasks",
                "$0 job submit --branch batch/season-rebuild --kind batch --tasks 10",
            ],
            ["Hand in what a file describes, and wait for its end", "$0 job submit --file job.json --wait"],
        ],
    });

    file = Option.String("--file", { description: "JSON file with the job, as POST /v1/jobs takes it" });
    branch = Option.String("--branch", { description: "Branch of the settings tree" });
    kind = Option.String("--kind", { description: "batch, gang or short" });
    tasks = Option.String("--tasks", { description: "Number of tasks; 1 if left out" });
    payload = Option.String("--payload", { description: "What workers run" });
    repeatable = Option.Boolean("--repeatable", false, {
        description: "A task may be run again if its worker is lost",
    });
    urgent = Option.Boolean("--urgent", false, {
        description: "May take the place of tasks that can give way",
    });
    key = Option.String("--key", { description: "Idempotency key" });
    wait = Option.Boolean("--wait", false, { description: "Wait for its end" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        const spec = await this.buildSpec();
        const key = this.key ?? randomUUID();
        if (!this.json) {
            this.context.stderr.write(`idempotency key ${key}\n`);
        }
        const headers = { "idempotency-key": key };
        let job = await this.require(client, "POST", "/v1/jobs", spec, headers) as ShownJob;
        while (this.wait && job.state !== "ended") {
            job = await this.require(
                client,
                "GET",
                `${this.getPath(job.jobId)}?waitMs=${MAX_WAIT_MS}`,
            ) as ShownJob;
        }
        this.print(formatJob(job), job);
        const isDone = job.state !== "ended" || job.counts["done"] === job.spec.tasks;
        return isDone ? ExitCode.fine : ExitCode.failed;
    }

    private async buildSpec(): Promise<unknown> {
        if (this.file !== undefined) {
            return parseSpec(await this.readTextFile(this.file), this.file);
        }
        if (this.branch === undefined || this.kind === undefined) {
            throw new UsageError("name --branch and --kind, or a file by --file");
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
