/**
 * Client interface of the platform's append-only log.
 */
package org.wigeontally.log;
