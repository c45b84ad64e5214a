/** The table of policies; a branch of the settings tree names one. docs/ADDING-A-POLICY.md shows how to add one. */
import type { Policy } from "../policy.js";
import { batchPolicy } from "./batch.js";
import { gangPolicy } from "./gang.js";
import { servicePolicy } from "./service.js";
import { shortPolicy } from "./short.js";

/** Handlers by name. The settings tree takes the names that it allows from here. */
export const POLICIES = {
    service: servicePolicy,
    batch: batchPolicy,
    gang: gangPolicy,
    short: shortPolicy,
} satisfies Readonly<Record<string, Policy>>;
export type PolicyName = keyof typeof POLICIES;
