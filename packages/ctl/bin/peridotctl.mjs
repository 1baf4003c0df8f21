#!/usr/bin/env node
// Checked in, because npm links only commands whose file exists when it installs, before the build.
import '../dist/src/main.js';
