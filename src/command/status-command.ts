/** `status`: prints the state of the cell as seen by one entry. */
import { Command, Option } from "clipanion";
import type { StatusView } from "../process/operator-gateway.js";
import { ClientCommand } from "./client-command.js";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatTable } from "./format.js";

/** Prints a summary of slices, workers and jobs, the members, and optionally the workers. */
export class StatusCommand extends ClientCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({
        category: "Cell",
        description: "print the state of the cell as seen by one entry",
        details:
            "Lists only the workers whose placer is the entry that answers; query each entry to see all.",
        examples: [
            ["Print a summary", "$0 status"],
            ["Print all workers too", "$0 status --workers"],
        ],
    });

    workers = Option.Boolean("--workers", false, { description: "List the workers too" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        const status = await this.require(client, "GET", "/v1/admin/status") as StatusView;
        const parts = [formatSummary(status), formatMembers(status)];
        this.print([...parts, ...(this.workers ? [formatWorkers(status)] : [])].join("\n\n"), status);
        return ExitCode.success;
    }
}

function countOwned(status: StatusView, memberId: string | undefined): string {
    const worker = status.workerSlices.filter(({ owner }) => owner === memberId).length;
    const home = status.homeSlices.filter(({ owner }) => owner === memberId).length;
    return `${worker}/${home}`;
}

function formatSummary(status: StatusView): string {
    const { home } = status;
    const open = status.workers.filter(({ state }) => state === "open").length;
    return [
        `entry ${status.memberId}`,
        `  takes work     ${status.accepting ? "yes" : "no"}, may order workers: ${
            status.mayAct ? "yes" : "no"
        }`,
        `  settings       version ${status.treeVersion}`,
        `  ownership      table ${status.tableRevision}, slices without owner: ${
            countOwned(status, undefined)
        }`,
        `  workers here   ${open} open of ${status.workers.length}`,
        `  jobs here      ${home.jobs}; tasks waiting ${home.waitingTasks}, running ${home.runningTasks}`,
    ].join("\n");
}

function formatMembers(status: StatusView): string {
    const rows = status.members.map(member => [
        member.memberId,
        member.failureDomain,
        member.httpUrl,
        member.memberId === status.memberId || member.reachable ? "reachable" : "unreachable",
        countOwned(status, member.memberId),
    ]);
    return formatTable([["MEMBER", "FAILURE DOMAIN", "ADDRESS", "LINK", "WORKER/HOME SLICES"], ...rows]);
}

function formatWorkers(status: StatusView): string {
    const rows = status.workers.map(worker => [
        worker.workerId,
        worker.rack,
        worker.failureDomain,
        worker.state,
        `${worker.freeSlots}/${worker.slots}`,
        String(worker.tasks),
        `${worker.use.cpuMillis}/${worker.capacity.cpuMillis}`,
        `${worker.use.memoryMib}/${worker.capacity.memoryMib}`,
    ]);
    const head = [
        "WORKER",
        "RACK",
        "FAILURE DOMAIN",
        "STATE",
        "FREE SLOTS",
        "TASKS",
        "CPU (m)",
        "MEMORY (MiB)",
    ];
    return formatTable([head, ...rows]);
}
