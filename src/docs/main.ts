/** Entry point of `npm run docs`: writes the generated pages. */
import { writeFileSync } from "node:fs";
import { renderPages } from "./pages.js";

for (const [path, text] of renderPages()) {
    writeFileSync(path, text);
}
