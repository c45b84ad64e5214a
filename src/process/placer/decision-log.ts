/** Logs a placer's decisions; docs/LOGS.md lists the fields. */
import type { SettingsVersion } from "../../version/settings.js";
import type { Decision } from "../placement/placement-core.js";
import type { RoleContext } from "../roles.js";

const DECISION_NAMES = { start: "place", shed: "shed", preempt: "preempt", shadow: "shadow" } as const;

/**
 * Logs a decision together with the version of the settings it was made under.
 * @param tookUs - Time the decision took, in microseconds.
 */
export function logDecision(
    context: Pick<RoleContext, "log" | "settings">,
    decision: Decision,
    tookUs: number,
): void {
    context.log.decide({
        decision: DECISION_NAMES[decision.kind],
        subject: decision.kind === "preempt" ? decision.victimId : decision.item.id,
        branch: decision.kind === "preempt" ? "" : decision.item.branch,
        treeVersion: context.settings.getCurrent()?.version ?? 0,
        chosen: decision.kind === "shed" ? undefined : decision.workerId,
        reason: decision.reason,
        runnersUp: decision.kind === "start" ? decision.runnersUp : undefined,
        tookUs,
    });
}

/**
 * Warns that the quotas in a settings version are not enforced: placers are not yet assigned shares of them.
 */
export function logQuotaWarning(context: Pick<RoleContext, "log">, settings: SettingsVersion): void {
    if ([...settings.teams.values()].some(team => team.quota !== undefined)) {
        context.log.warn("CR1104", "quotas are not in force yet", { version: settings.version });
    }
}
