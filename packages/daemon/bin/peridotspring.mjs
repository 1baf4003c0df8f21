#!/usr/bin/env node
// Checked in because `npm install` runs before the build and links only commands whose file
// already exists.
import '../dist/src/main.js';
