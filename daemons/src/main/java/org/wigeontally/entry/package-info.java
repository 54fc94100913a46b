/**
 * The entry: the process on an entry host, which callers and operators talk to.
 */
package org.wigeontally.entry;
