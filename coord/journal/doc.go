// Package journal stores the hard state, the log and the snapshot of a quorum core in one data folder.
//
// Files:
//
//	identity   group, VM name and incarnation, written once
//	snapshot   newest snapshot, with the hard state and the log entries after it when it was saved
//	log-N      log segment: records of later saves; each save is one record, synced before Save returns
//
// Each record is preceded by a frame header: its length, a CRC32C of its bytes, and a CRC32C of the header and its
// position. Since a save is one record, a crash can damage only the last record of the last segment, which Open
// truncates. Any other damage is refused, since acknowledged entries may be lost: the VM must then be readmitted with an
// empty data folder. Damage to the last record after it was synced cannot be distinguished from a crash during the write;
// the quorum core detects it when a heartbeat of the leader names an entry that the log lacks.
//
// A founding voter's folder is written by Bootstrap. Otherwise Open gives an empty folder a new incarnation, with which the VM
// asks to be admitted to the group. The caller passes Stored to the core and each Effects.Save to Journal.Save, from one
// goroutine.
package journal
