/** `demo`: runs a complete cell of each example deployment on loopback, with every kind of work. */
import { Command, Option } from "clipanion";
import { BaseCommand } from "./base-command.js";
import type { DemoCell } from "./demo/demo-cell.js";
import type { DemoReport, DeploymentReport } from "./demo/run-demo.js";
import { runDemo } from "./demo/run-demo.js";
import type { WorkReport } from "./demo/run-work.js";
import { ExitCode } from "./exit-code.js";
import { waitForSignal } from "./wait-for-signal.js";

/** Starts the demo cells in this process and submits every kind of work to them. */
export class DemoCommand extends BaseCommand {
    static override paths = [["demo"]];
    static override usage = Command.Usage({
        category: "Try it",
        description: "start two small cells on loopback and run every kind of work on them",
        details: `
            Starts stand-ins for the platform (store, VM list, workers in racks over four failure domains) and three
            entries for each of two deployments, all in this process and on loopback. Submits a service request, a
            request that must not run twice, a batch job, a gang job and a short run, and prints for each what
            happened, where and why.

            With \`--keep\` it prints the addresses and tokens and keeps serving until it is interrupted.
        `,
        examples: [
            ["Run it", "$0 demo"],
            ["Keep the cells running to try the other commands", "$0 demo --keep"],
        ],
    });

    keep = Option.Boolean("--keep", false, { description: "Keep serving until interrupted" });

    protected override async run(): Promise<ExitCode> {
        const { report, cells } = await runDemo();
        const addresses = cells.map(getAddresses);
        this.print(formatReport(report), this.keep ? { ...report, addresses } : report);
        if (this.keep) {
            this.printAddresses(addresses);
            await waitForSignal();
        }
        await Promise.all(cells.map(cell => cell.close()));
        return report.ok ? ExitCode.success : ExitCode.failed;
    }

    private printAddresses(addresses: readonly Addresses[]): void {
        if (!this.json) {
            this.context.stdout.write(
                `${addresses.map(formatAddresses).join("\n\n")}\n\nInterrupt to stop.\n`,
            );
        }
    }
}

/** Addresses and tokens of a cell that keeps serving, as printed. */
interface Addresses {
    readonly name: string;
    readonly entries: readonly string[];
    readonly store: string;
    readonly vmList: string;
    readonly operatorToken: string;
    readonly teamTokens: Readonly<Record<string, string>>;
}

function getAddresses(cell: DemoCell): Addresses {
    return {
        name: cell.deployment.name,
        entries: cell.entries.map(({ self }) => self.httpUrl),
        store: cell.storeUrl,
        vmList: cell.vmListUrl,
        operatorToken: cell.operatorToken,
        teamTokens: Object.fromEntries(cell.tokens),
    };
}

function formatAddresses({ name, entries, store, vmList, operatorToken, teamTokens }: Addresses): string {
    return [
        `${name} serves:`,
        ...entries.map(url => `  entry      ${url}`),
        `  store      ${store}`,
        `  VM list    ${vmList}`,
        `  operator   CACTUSRACK_TOKEN=${operatorToken}`,
        ...Object.entries(teamTokens).map(([team, token]) =>
            `  ${team.padEnd(18)} CACTUSRACK_TOKEN=${token}`
        ),
    ].join("\n");
}

function formatReport(report: DemoReport): string {
    const work = report.deployments.flatMap(deployment => deployment.work);
    const answered = work.filter(({ ok }) => ok).length;
    return [
        ...report.deployments.map(formatDeployment),
        `${answered} of ${work.length} kinds of work done in ${(report.tookMs / 1_000).toFixed(1)} s`,
    ].join("\n\n");
}

function formatDeployment({ name, entries, workers, readyMs, edit, work }: DeploymentReport): string {
    return [
        `${name}: ${entries.length} entries, ${workers} workers, ready after ${readyMs} ms; settings tree: ${edit}`,
        ...work.map(formatWork),
    ].join("\n\n");
}

function formatWork(work: WorkReport): string {
    return [
        `${
            work.ok ?
                "done  " :
                "FAILED"
        } ${work.title} (${work.kind}, ${work.branch}, team ${work.team}, ${work.tookMs} ms)`,
        `  what   ${work.what}`,
        `  where  ${work.where}`,
        ...work.why.map((line, index) => `  ${index === 0 ? "why  " : "     "}  ${line}`),
    ].join("\n");
}
