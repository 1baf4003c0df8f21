// Roarr discards all messages unless this variable is set when roarr is loaded, so this module must be
// imported before roarr.
process.env.ROARR_LOG = 'true';
