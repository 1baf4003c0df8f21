// Roarr discards every message unless this variable is set when it is loaded, so this module has to be
// imported before it.
process.env.ROARR_LOG = 'true';
