/** Network partitions, on workers that compare epochs and on workers that know leases only. */
import { describe, it } from "node:test";
import type { ScenarioScope } from "./scenarios.js";
import { runLoad, runScenarioOnBothKinds } from "./scenarios.js";

const LOAD_MS = 6_000;
const CUT_MS = 15_000;

interface PartitionCase {
    readonly name: string;
    readonly cut: (scope: ScenarioScope) => void;
}

const cases: PartitionCase[] = [
    { name: "one entry is cut from its peers", cut: ({ cell }) => cutPeers({ cell }, 1) },
    { name: "one entry is cut from the store", cut: ({ cell }) => cell.cutStore(cell.getMember(1), CUT_MS) },
    {
        name: "one entry is cut from peers and store",
        cut: ({ cell }) => {
            cutPeers({ cell }, 1);
            cell.cutStore(cell.getMember(1), CUT_MS);
        },
    },
    { name: "two halves are cut from each other", cut: ({ cell }) => cell.splitEntries(2, CUT_MS) },
    {
        name: "two halves are cut from each other and the store is unavailable",
        cut: ({ cell }) => {
            cell.splitEntries(2, CUT_MS);
            cell.stopStore(CUT_MS);
        },
    },
    {
        name: "two halves are cut from each other and one half from the store",
        cut: ({ cell }) => {
            cell.splitEntries(2, CUT_MS);
            [0, 1].forEach(index => cell.cutStore(cell.getMember(index), CUT_MS));
        },
    },
    {
        name: "one entry is cut from all its workers",
        cut: ({ cell }) => cell.listWorkerIds().forEach(id => cell.cutWorker(cell.getMember(1), id, CUT_MS)),
    },
];

function cutPeers({ cell }: Pick<ScenarioScope, "cell">, index: number): void {
    const { memberId } = cell.getMember(index);
    cell.network.cutMember(memberId);
    cell.clock.schedule(CUT_MS, () => cell.network.healMember(memberId));
}

describe("partitions", () => {
    for (const { name, cut } of cases) {
        it(`${name}: no task runs in two places and no answer is false`, async () => {
            // Guards against duplicate runs and false "not run" answers when a switch or a region link fails:
            // under load the links break for 15 s and heal. Callers may see waits.
            await runScenarioOnBothKinds(async scope => {
                const load = runLoad(scope, LOAD_MS, 250);
                await scope.cell.clock.step(1_000);
                cut(scope);
                await scope.cell.clock.wait(load, 20_000);
                await scope.cell.clock.step(CUT_MS);
            });
        });
    }
});
