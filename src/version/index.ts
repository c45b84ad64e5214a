/** The settings tree: its schema, validation and edits, and the settings built from one version of it. */
export { applyEdit, type ApplyResult } from "./apply-edit.js";
export { compareBranches, compareTrees } from "./compare-trees.js";
export { DEFAULT_TREE } from "./default-tree.js";
export { type Checked, formatValue, parseJson, validateBySchema } from "./faults.js";
export {
    buildChoiceSchema,
    buildCountSchema,
    buildFlagSchema,
    buildMillisSchema,
    buildNumberSchema,
    buildTextSchema,
} from "./field-schemas.js";
export { buildSettingsVersion, DEFAULT_ORIGIN, getEffective, listLeaves } from "./inherit.js";
export { checkTree, encodeTree, parseTree, parseTreeFile } from "./parse-tree.js";
export { ALL_POLICY_NAMES, POLICY_NAMES } from "./policies.js";
export * from "./settings.js";
export { getField } from "./tree-fields.js";
export {
    branchSettingsSchema,
    cellSettingsSchema,
    type RootNode,
    rootSchema,
    teamSchema,
    TREE_FORMAT,
    type TreeDocument,
    type TreeNode,
} from "./tree-schema.js";
