//! The numbered configuration: documents, patches, versions, digests.
