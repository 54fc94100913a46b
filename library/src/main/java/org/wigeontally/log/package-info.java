/**
 * The platform's append-only log as this project sees it.
 */
package org.wigeontally.log;
