// Command review-3 plays the cases of the third review: review-3 CASE RECORD. The program under review runs as processes;
// the platform's store, its advice service, the workers and the clients are stand-ins in this process. It ends with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
//
// The cases gang, crashes, wide and takeover have no folder: REPORT-3.md tells what they show.
package main
