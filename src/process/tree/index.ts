/** The tree role: follows, holds and edits the settings tree. */
export { createTreeRole, type TableView, TreeRole, type TreeRoleOptions } from "./tree-role.js";
export { TREE_KEY } from "./tree-writer.js";
