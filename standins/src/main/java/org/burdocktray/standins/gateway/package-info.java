/**
 * Stand-ins for what a gateway meets on the users' platform: the metadata store, engines
 * that take orders and run paths, and replicas of plain services.
 */
package org.burdocktray.standins.gateway;
