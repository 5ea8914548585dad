/**
 * Enables roarr, which writes nothing unless this variable is set before it loads. The `logLevel`
 * setting decides which events are written.
 */
process.env['ROARR_LOG'] = 'true';
