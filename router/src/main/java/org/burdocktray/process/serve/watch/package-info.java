/**
 * HTTP between VMs that watch the platform's store and those that ask them.
 */
package org.burdocktray.process.serve.watch;
